package scheduler

import "amaranthmill/internal/identifier"

// budget bounds this instance's arrivals beyond the first of each request, by service: at
// most a share of its requests plus its part of a stock that all instances have together.
type budget struct {
	share, stock float64
	instances    int
	saved        map[identifier.Service]float64
}

func newBudget(share, stock float64) budget {
	return budget{share: share, stock: stock, instances: 1, saved: map[identifier.Service]float64{}}
}

// most returns what one instance may save up.
func (b *budget) most() float64 { return b.stock / float64(b.instances) }

func (b *budget) setInstances(n int) {
	b.instances = max(n, 1)
	for service, saved := range b.saved {
		b.saved[service] = min(saved, b.most())
	}
}

func (b *budget) left(s identifier.Service) float64 {
	if saved, ok := b.saved[s]; ok {
		return saved
	}
	return b.most()
}

// earn counts a request.
func (b *budget) earn(s identifier.Service) { b.saved[s] = min(b.left(s)+b.share, b.most()) }

// spend reports whether another arrival is allowed, and counts it.
func (b *budget) spend(s identifier.Service) bool {
	left := b.left(s)
	if left < 1 {
		return false
	}
	b.saved[s] = left - 1
	return true
}
