package planner

import "slices"

// Fractions of the channel's queue (Config.MaxInFlightEntries) that commands may fill. The more urgent a command, the
// more it may fill, so that what must go always fits.
const (
	idleQueueFraction     = 0.10 // up to which the queue counts as empty
	ordinaryQueueFraction = 0.35 // for changes of tables that may wait; the channel can be several times slower than stated
	bindQueueFraction     = 0.60 // for tables of proxies that joined, admission levels and tables that are far off
	urgentQueueFraction   = 0.80 // for endpoints that drain or were removed
	maxCallFraction       = 0.20 // for one call: where answers are lost, it may be in flight several times
)

const (
	// maxQueueSeconds is how much of the channel's rate may be in flight for what is not urgent. What waits longer is
	// out of date when it arrives, and urgent entries wait behind it.
	maxQueueSeconds = 2.0
	// channelProbeSeconds is the time from the last batch to the first probe of what is in flight.
	channelProbeSeconds = 3.0
	// maxChannelProbeBackoff is the maximum number of extra intervals of channelProbeSeconds between two probes.
	maxChannelProbeBackoff = 3.0
)

// flowControl decides which commands may be sent now, by what is in flight to the proxies.
type flowControl struct {
	account          inFlightAccount
	maxEntries       float64 // that may be in flight
	entriesPerSecond float64 // that the channel delivers as stated, 0 if not stated
	maxMessages      int     // to one proxy within Config.MessageWindow, 0 for no limit
	probes           float64 // probes since a nonce was last acknowledged
}

func newFlowControl(config Config) flowControl {
	return flowControl{
		account:          inFlightAccount{messageOverhead: config.MessageOverhead},
		maxEntries:       config.MaxInFlightEntries,
		entriesPerSecond: config.EntriesPerSecond,
		maxMessages:      config.MaxMessages,
	}
}

// available returns how many entries may be sent until a fraction of the queue is full. What is in flight is known by
// acknowledgements alone: the channel can be far slower than stated, and for long. Where the queue holds far more
// than the channel delivers in maxQueueSeconds, what is not urgent fills a fraction of that only.
func (f *flowControl) available(fraction float64) float64 {
	size := f.maxEntries
	if fraction < urgentQueueFraction && f.entriesPerSecond > 0 {
		size = min(size, maxQueueSeconds*f.entriesPerSecond)
	}
	return fraction*size - f.account.entries
}

// idle reports whether the queue counts as empty.
func (f *flowControl) idle() bool { return f.available(idleQueueFraction) > 0 }

// fits reports whether entries may be sent within a fraction of the queue and of the next call. If they are more than
// of the queue ever holds, they may be sent while the queue is idle: else they would wait for good.
func (f *flowControl) fits(entries, fraction float64) bool {
	unaccepted := f.account.unaccepted
	fitsCall := unaccepted == 0 || unaccepted+entries <= maxCallFraction*f.maxEntries
	fitsFraction := entries <= f.available(fraction)
	fitsIdleQueue := f.idle() && entries <= f.available(urgentQueueFraction)
	return fitsCall && (fitsFraction || fitsIdleQueue)
}

// forgetOldMessages drops the times of messages that no longer lie within the window.
func (s *subset) forgetOldMessages(now, window float64) {
	s.messageTimes = slices.DeleteFunc(s.messageTimes, func(at float64) bool { return now-at > window })
}

// mayPublish reports whether entries for each member of a subset fit into a fraction of the queue, and a message to
// each into a fraction of the messages that a proxy may get. The subset has forgotten its old messages before.
func (f *flowControl) mayPublish(now float64, s *subset, each, fraction float64) bool {
	if !f.fits(f.account.cost(now, s.members, each), fraction) {
		return false
	}
	recent := len(s.messageTimes)
	needsMessage := recent == 0 || s.messageTimes[recent-1] != now
	maxRecent := fraction*float64(f.maxMessages) - 1
	mayGetMessage := f.maxMessages == 0 || recent == 0 || float64(recent) < maxRecent
	return !needsMessage || mayGetMessage
}

// probeDue reports whether nothing was sent, and nothing acknowledged, for so long that a proxy has to be probed.
func (f *flowControl) probeDue(now float64) bool {
	batches := f.account.batches
	if len(batches) == 0 {
		return false
	}
	wait := channelProbeSeconds * (1 + min(f.probes, maxChannelProbeBackoff))
	return now >= batches[len(batches)-1].at+wait
}

// reserveEntry counts an entry for each member of a subset as in flight.
func (p *Planner) reserveEntry(subset int) {
	s := &p.subsets[subset]
	recent := len(s.messageTimes)
	if len(s.members) > 0 && (recent == 0 || s.messageTimes[recent-1] != p.now) {
		s.messageTimes = append(s.messageTimes, p.now)
	}
	p.reserve(s.members, 1)
	p.flow.account.countWeight(p.now, subset)
}

// reserve counts entries for each of some proxies as in flight. The first of a batch requests acknowledgement.
func (p *Planner) reserve(proxies []int, each float64) {
	if p.flow.account.reserve(p.now, proxies, each) {
		p.host.RequestAck(p.flow.account.nonces % nonceModulo)
	}
}

// probeChannel binds one connected proxy again when nothing was acknowledged for long. Without it the channel could
// count as full for good: the proxies that were to acknowledge the last nonce may have been renewed, and as nothing
// fits, nothing is sent that others could acknowledge. The proxy that is bound acknowledges that all before has left.
func (p *Planner) probeChannel() {
	if !p.flow.probeDue(p.now) {
		return
	}
	p.flow.probes++
	connected := p.proxies.connected()
	if len(connected) == 0 {
		return
	}
	proxy := connected[int(p.random.next()*float64(len(connected)))]
	p.proxies.dequeue(proxy)
	p.bind(proxy)
}

// InFlight is how many entries may be in flight to the proxies, never fewer than are.
func (p *Planner) InFlight() float64 { return p.flow.account.entries }

// CommandsAccepted says that the call with a nonce was accepted: its commands were carried out.
func (p *Planner) CommandsAccepted(now float64, nonce int) {
	p.now = now
	p.flow.account.accept(nonce)
}

// CommandsRetried says that the call with a nonce goes out again though its outcome is unknown: it may have been
// carried out, in full or its first part.
func (p *Planner) CommandsRetried(now float64, nonce int, full bool) {
	p.now = now
	p.flow.account.countRetry(nonce, full)
}

// Acknowledged says that a proxy applied all commands up to a nonce.
func (p *Planner) Acknowledged(now float64, proxy, nonce int) {
	p.now = now
	if p.flow.account.acknowledge(proxy, nonce) {
		p.flow.probes = 0
	}
}
