// Package ticketer keeps change tickets and the accepted configuration in the
// platform's object store.
//
// A ticket is filed, then approved or withdrawn; an approved ticket is accepted
// or refused. Every decision is one conditional update of the head, the object
// at HeadKey, so decisions are totally ordered whatever a ticket touches.
// Configuration is stored in immutable shards named by their digest, which
// only the head makes current.
package ticketer
