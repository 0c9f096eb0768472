package apportioner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// maxWishes bounds the firms for which a keeper asks for loans at a time: those that
	// lack most.
	maxWishes = 32
	// loanTimeout bounds an exchange about a loan. It is less than the interval between two.
	loanTimeout = 700 * time.Millisecond
)

// askForLoans asks the keepers of other data centres for what limited firms lack here.
func (a *Apportioner) askForLoans(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	wishes := a.keeper.Wishes(now)
	if len(wishes) == 0 {
		return
	}
	slices.SortFunc(wishes, func(x, y rationer.Wish) int { return cmp.Compare(y.Rate, x.Rate) })
	s := a.cfg.State()
	others := otherDataCentres(s)
	for _, w := range wishes[:min(len(wishes), maxWishes)] {
		w.Rate /= float64(max(len(others), 1))
		for _, dataCentre := range others {
			if lender, ok := keeperIn(s, dataCentre, w.Firm); ok {
				group.Go(func() { a.askForLoan(ctx, lender, w) })
			}
		}
	}
}

func otherDataCentres(s *blackboard.State) []string {
	var out []string
	for _, m := range s.Members.ByHost {
		if m.DataCentre != s.Self.DataCentre && m.Status == blackboard.MemberAlive && !slices.Contains(out, m.DataCentre) {
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// keeperIn returns the keeper of a firm in another data centre, as the nodes there choose it.
func keeperIn(s *blackboard.State, dataCentre, firm string) (blackboard.Member, bool) {
	order := keeperOrder(s, dataCentre)
	order = order[:(len(order)+nodesPerKeeper-1)/nodesPerKeeper]
	hosts := make([]string, len(order))
	for i, m := range order {
		hosts[i] = m.Host
	}
	m, ok := s.Members.ByHost[ranker.Rendezvous(firm, hosts)]
	return m, ok
}

func (a *Apportioner) askForLoan(ctx context.Context, lender blackboard.Member, w rationer.Wish) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	askedAt := time.Now()
	request := &wirepb.LoanRequest{Firm: w.Firm, Wanted: float32(w.Rate), Host: a.cfg.State().Self.Host}
	s, err := a.cfg.Open(ctx, lender.Address, LoanKind, request)
	if err != nil {
		return
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var reply wirepb.LoanReply
	if encoder.Read(s.Reader, &reply, maxMessageBytes) != nil || !(reply.GetRate() > 0) {
		return
	}
	a.keeper.Borrow(askedAt, lender.Host, w.Firm, min(float64(reply.GetRate()), w.Rate))
}

// ServeLoan answers one request for a loan.
func (a *Apportioner) ServeLoan(_ context.Context, s *linker.Stream) {
	var request wirepb.LoanRequest
	if s.SetDeadline(time.Now().Add(loanTimeout)) != nil {
		return
	}
	if encoder.Read(s.Reader, &request, maxMessageBytes) != nil || request.GetHost() == "" {
		return
	}
	rate := a.keeper.Lend(time.Now(), request.GetHost(), rationer.Wish{Firm: request.GetFirm(), Rate: float64(request.GetWanted())})
	_ = write(s, &wirepb.LoanReply{Rate: float32(rate)})
}
