package groupformer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// demandProfile is the engine profile of the deployments under hard load.
var demandProfile = resolver.EngineProfile{
	Slots: 34, LoadsPerSecond: 14, FullSpeedLoads: 21, StagedModels: 1, OpenTime: 300 * time.Millisecond, MeanPromptTokens: 900, MeanAnswerTokens: 100,
	PrefillTokensPerSecond: 46000, DecodeStep: 6070 * time.Microsecond, DecodeStepPerRequest: 241 * time.Microsecond,
	Models: []resolver.Model{
		{Name: "m0", GroupSize: 8, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "m1", GroupSize: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	},
}

// kind is a kind of request.
type kind struct {
	model          string
	perSecond      float64
	prompt, answer int
}

// hardLoad is the load of deployment J on 171 engines: 347 of 401 requests per second are for m1.
var hardLoad = []kind{{"m1", 347, 674, 115}, {"m0", 33, 1420, 115}, {"m0", 21, 1960, 22}}

// longestAnswer is the time of an answer of 115 tokens of m0 in a full group.
const longestAnswer = 1650 * time.Millisecond

// demandFleet is a fleet whose instances report the work that arrives.
type demandFleet struct {
	*fleet
	kinds     []kind
	factor    func(model string) float64 // on the requests per second, for each report
	instances int
	interval  time.Duration           // between two reports of an instance
	reporting func(instance int) bool // whether the reports of an instance arrive
	carry     map[string]float64      // fractions of requests that are not reported yet
	fractions *rand.Rand              // source of the first of these, and of random arrivals
	isRandom  bool                    // requests arrive at random (Poisson)
	lent      int                     // groups dissolved for another model
	formed    int
	cut       int // groups whose running requests were aborted while it was lent
	closing   map[identifier.Group]bool
	changes   []groupformer.ShareChanged
	staged    map[string]int // orders to stage, by "MODEL at MODEL OF THE ENGINE"
}

// newDemandFleet returns a fleet with 19 engines in each of three fabric domains of each of three failure domains, all of
// whose groups serve and all of whose hosts have both models. Its groups were formed with the operator's shares
// of the given m0, which have changed to 0.5 since.
func newDemandFleet(seed uint64, kinds []kind, m0Share float64) *demandFleet {
	before := demandProfile
	before.Models = slices.Clone(before.Models)
	before.Models[0].Share, before.Models[1].Share = m0Share, 1-m0Share
	f := &demandFleet{
		fleet: newFleetWithProfile(&before, seed, 3, 3, 19), kinds: kinds, instances: 31, interval: 2 * time.Second, carry: map[string]float64{}, staged: map[string]int{}, fractions: rand.New(rand.NewPCG(seed, 2)), closing: map[identifier.Group]bool{},
		factor: func(string) float64 { return 1 }, reporting: func(int) bool { return true },
	}
	f.observe = f.record
	f.closeTime = longestAnswer
	f.run(15 * time.Second)
	f.startRequests()
	f.profile = &demandProfile
	f.step(groupformer.ServicesSet{Services: []resolver.Service{{Name: "guides", Engine: f.profile}}})
	f.lent, f.formed, f.staged = 0, 0, map[string]int{}
	return f
}

// record counts what the Former decides.
func (f *demandFleet) record(a groupformer.Action) {
	switch a := a.(type) {
	case groupformer.ShareChanged:
		f.changes = append(f.changes, a)
	case groupformer.Order:
		switch o := a.Operation.(type) {
		case groupformer.Close:
			if o.Abort && f.closing[o.Group] {
				f.cut++
			}
		case groupformer.Stage:
			f.staged[fmt.Sprintf("%s at %v", o.Model, f.engines[a.ID].Models)]++
		}
	case groupformer.LogDecision:
		switch a.Decision {
		case "dissolve:lent":
			f.lent++
			f.closing[a.Group] = true
		case "form":
			f.formed++
		}
	}
}

// startReports lets each instance report at the interval from now on, at a phase of its own.
func (f *demandFleet) startReports() {
	phases := rand.New(rand.NewPCG(f.rand.Uint64(), 1))
	for i := range f.instances {
		phase := time.Duration(phases.IntN(int(f.interval.Milliseconds()))) * time.Millisecond
		if i == 0 {
			phase = 0 // the first report, from which times are counted
		}
		f.schedule(phase, func() { f.report(i) })
	}
}

func (f *demandFleet) report(i int) {
	interval := f.interval
	f.schedule(interval, func() { f.report(i) })
	r := groupformer.DemandReported{Instance: identifier.Instance(fmt.Sprintf("i%02d", i)), FailureDomain: identifier.FailureDomain(fmt.Sprintf("z%d", i%3)), Elapsed: interval, Instances: f.instances}
	byModel := map[string]int{}
	for n, k := range f.kinds {
		if _, ok := byModel[k.model]; !ok {
			byModel[k.model] = len(r.Models)
			r.Models = append(r.Models, groupformer.ModelDemand{Service: "guides", Model: k.model})
		}
		key := fmt.Sprintf("%d/%d", i, n)
		if _, ok := f.carry[key]; !ok {
			f.carry[key] = f.fractions.Float64()
		}
		exact := k.perSecond*f.factor(k.model)*interval.Seconds()/float64(f.instances) + f.carry[key]
		whole := int(math.Floor(exact))
		f.carry[key] = exact - float64(whole)
		if f.isRandom {
			whole = f.poisson(k.perSecond * f.factor(k.model) * interval.Seconds() / float64(f.instances))
		}
		m := &r.Models[byModel[k.model]]
		m.Requests += whole
		m.Prompts += whole
		m.PromptTokens += whole * k.prompt
		m.Answers += whole
		m.AnswerTokens += whole * k.answer
	}
	if f.reporting(i) {
		f.step(r)
	}
}

// poisson returns a random number of arrivals.
func (f *demandFleet) poisson(mean float64) int {
	n := 0
	for p := f.fractions.Float64(); p > math.Exp(-mean); p *= f.fractions.Float64() {
		n++
	}
	return n
}

// load returns the load of a model's groups, as a fraction of their slots, at a factor on the fleet's requests: the
// requests that run if each of them takes the time that the profile states at that load. Groups that span fabric domains
// do not count.
func (f *demandFleet) load(model string, factor float64) float64 {
	groups := float64(f.countWhole()[model])
	m := f.findModel(model)
	for load := 0.01; load < 3; load += 0.01 {
		running := 0.0
		step := f.profile.DecodeStep.Seconds() + load*float64(f.profile.Slots)*f.profile.DecodeStepPerRequest.Seconds()
		for _, k := range f.kinds {
			if k.model == model {
				running += factor * k.perSecond * m.TimeFactor * (float64(k.prompt)/f.profile.PrefillTokensPerSecond + float64(k.answer)*step)
			}
		}
		if running <= load*float64(f.profile.Slots)*groups {
			return load
		}
	}
	return math.Inf(1)
}

// countWhole returns the number of complete serving groups within one fabric domain, by model.
func (f *demandFleet) countWhole() map[string]int {
	out := map[string]int{}
	for _, n := range f.countWholeByDomain() {
		for model, groups := range n {
			out[model] += groups
		}
	}
	return out
}

// countWholeByDomain returns the same by failure domain.
func (f *demandFleet) countWholeByDomain() map[identifier.FailureDomain]map[string]int {
	out := map[identifier.FailureDomain]map[string]int{}
	for _, h := range f.engines {
		m := h.Membership
		if h.dead || m.Rank != 0 || m.State != endpointlister.MemberOpen {
			continue
		}
		whole := true
		for _, id := range f.members[m.Group] {
			e := f.engines[id]
			whole = whole && !e.dead && e.Membership.IsSameGroup(m) && e.FabricDomain == h.FabricDomain
		}
		if !whole {
			continue
		}
		if out[h.FailureDomain] == nil {
			out[h.FailureDomain] = map[string]int{}
		}
		out[h.FailureDomain][h.Models[0]]++
	}
	return out
}

// idle returns the number of live engines that belong to no group.
func (f *demandFleet) idle() int {
	n := 0
	for _, e := range f.engines {
		if !e.dead && e.Membership.Group == "" {
			n++
		}
	}
	return n
}

// addEngines adds n engines without weights, each in a random fabric domain.
func (f *demandFleet) addEngines(n int) {
	for range n {
		z, d := f.rand.IntN(3), f.rand.IntN(3)
		f.add(identifier.FailureDomain(fmt.Sprintf("z%d", z)), identifier.FabricDomain(fmt.Sprintf("z%d-d%d", z, d)))
	}
}

// inUse says how many live engines are in use, or why they are not.
type inUse struct {
	serving  float64 // in serving groups; a group that spans fabric domains counts with 0.4
	joining  float64 // in other groups
	loading  float64 // load their first weights
	waiting  float64 // have no weights and do not load any
	staging  float64 // have weights, belong to no group and load others
	idle     float64 // have weights and belong to no group
	m0, m1   float64 // serving groups within a fabric domain
	m0s, m1s float64 // serving groups that span fabric domains
}

func (f *demandFleet) inUse() inUse {
	var out inUse
	whole, all := f.countWhole(), f.countServing()
	out.m0, out.m1 = float64(whole["m0"]), float64(whole["m1"])
	out.m0s, out.m1s = float64(all["m0"]-whole["m0"]), float64(all["m1"]-whole["m1"])
	out.serving = 8*(out.m0+0.4*out.m0s) + 4*(out.m1+0.4*out.m1s)
	members := 8*float64(all["m0"]) + 4*float64(all["m1"])
	for _, e := range f.engines {
		hasWeights := len(e.Models)+len(e.Staged) > 0
		switch {
		case e.dead:
		case e.Membership.Group != "":
			out.joining++
		case !hasWeights && e.staging:
			out.loading++
		case !hasWeights:
			out.waiting++
		case e.staging:
			out.staging++
		default:
			out.idle++
		}
	}
	out.joining -= members
	return out
}

func (u *inUse) fields() []*float64 {
	return []*float64{&u.serving, &u.joining, &u.loading, &u.waiting, &u.staging, &u.idle, &u.m0, &u.m1, &u.m0s, &u.m1s}
}

func (u *inUse) add(o inUse) {
	for i, v := range o.fields() {
		*u.fields()[i] += *v
	}
}

func (u *inUse) mean(n float64) inUse {
	for _, v := range u.fields() {
		*v = math.Round(*v/n*10) / 10
	}
	return *u
}

// unusedGroups returns, by fabric domain and model, the groups that idle engines could form there without a load.
func (f *demandFleet) unusedGroups() map[string]int {
	out := map[string]int{}
	for _, e := range f.engines {
		for _, m := range f.profile.Models {
			key := string(e.FabricDomain) + "/" + m.Name
			out[key] += 0
			if !e.dead && e.listed && !e.staging && e.Membership.Group == "" && (slices.Contains(e.Models, m.Name) || slices.Contains(e.Staged, m.Name)) {
				out[key]++
			}
		}
	}
	for _, m := range f.profile.Models {
		for key := range out {
			if strings.HasSuffix(key, "/"+m.Name) {
				out[key] /= m.GroupSize
			}
		}
	}
	return out
}
