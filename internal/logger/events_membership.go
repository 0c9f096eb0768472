package logger

// Events 300 to 399.
var membershipEvents = []Event{}
