package planner

import (
	"math"
	"slices"
)

// Fractions of the channel's queue (Config.MaxInFlightEntries) that commands may fill. More urgent commands may fill a
// larger fraction, so that the most urgent ones always fit.
const (
	idleQueueFraction     = 0.10 // up to which the queue counts as empty
	ordinaryQueueFraction = 0.35 // for ordinary table changes; the channel can be several times slower than stated
	bindQueueFraction     = 0.60 // for tables of proxies that joined, admission levels and urgent entries (urgentEntries)
	urgentQueueFraction   = 0.80 // for endpoints that drain or were removed
	maxCallFraction       = 0.20 // for one call, which may be in flight several times if its responses are lost
)

const (
	// maxQueueSeconds limits the entries in flight for commands that are not urgent, as the time in s that the channel
	// needs at its stated rate. Entries that wait longer are outdated on arrival and delay the urgent entries behind
	// them.
	maxQueueSeconds = 2.0
	// channelProbeSeconds is the time in s from the last unsettled batch to the first channel probe.
	channelProbeSeconds = 3.0
	// maxChannelProbeBackoff is the maximum number of extra intervals of channelProbeSeconds between two probes.
	maxChannelProbeBackoff = 3.0
)

// flowControl decides which commands may be sent now, based on the entries in flight to the proxies.
type flowControl struct {
	account          inFlightAccount
	maxEntries       float64 // maximum number of entries in flight
	entriesPerSecond float64 // stated rate of the channel, 0 if not stated
	maxMessages      int     // maximum number of messages to one proxy within Config.MessageWindow, 0 for no limit
	probes           float64 // number of probes since a nonce was last acknowledged
}

func newFlowControl(config Config) flowControl {
	return flowControl{
		account:          inFlightAccount{messageOverhead: config.MessageOverhead},
		maxEntries:       config.MaxInFlightEntries,
		entriesPerSecond: config.EntriesPerSecond,
		maxMessages:      config.MaxMessages,
	}
}

// available returns how many entries may be sent until a fraction of the queue is full. Entries stay in flight until
// they are acknowledged, however long that takes, as the channel can be far slower than stated for a long time. For
// commands that are not urgent, the queue counts as no larger than the entries that the channel delivers in
// maxQueueSeconds at its stated rate.
func (f *flowControl) available(fraction float64) float64 {
	queueSize := f.maxEntries
	if fraction < urgentQueueFraction && f.entriesPerSecond > 0 {
		queueSize = min(queueSize, maxQueueSeconds*f.entriesPerSecond)
	}
	return fraction*queueSize - f.account.entries
}

// deliverySeconds returns the time in s in which the channel delivers entries at its stated rate, +Inf if it is not
// stated.
func (f *flowControl) deliverySeconds(entries float64) float64 {
	if f.entriesPerSecond <= 0 {
		return math.Inf(1)
	}
	return entries / f.entriesPerSecond
}

// idle reports whether the queue counts as empty.
func (f *flowControl) idle() bool { return f.available(idleQueueFraction) > 0 }

// fits reports whether entries fit into a fraction of the queue and into the next call. Entries that exceed this
// fraction even of an empty queue may be sent while the queue is idle: otherwise they would wait forever.
func (f *flowControl) fits(entries, fraction float64) bool {
	unaccepted := f.account.unaccepted
	fitsCall := unaccepted == 0 || unaccepted+entries <= maxCallFraction*f.maxEntries
	fitsFraction := entries <= f.available(fraction)
	fitsIdleQueue := f.idle() && entries <= f.available(urgentQueueFraction)
	return fitsCall && (fitsFraction || fitsIdleQueue)
}

// dropOldMessages drops the times of messages that are older than the window.
func (s *subset) dropOldMessages(now, window float64) {
	s.messageTimes = slices.DeleteFunc(s.messageTimes, func(at float64) bool { return now-at > window })
}

// mayPublish reports whether entries for each member of a subset fit into a fraction of the queue, and a message to
// each into the same fraction of the messages that a proxy may get. The caller must have called dropOldMessages.
func (f *flowControl) mayPublish(now float64, s *subset, entriesPerProxy, fraction float64) bool {
	if !f.fits(f.account.cost(now, s.members, entriesPerProxy), fraction) {
		return false
	}
	recentMessages := len(s.messageTimes)
	needsMessage := recentMessages == 0 || s.messageTimes[recentMessages-1] != now
	maxRecentMessages := fraction*float64(f.maxMessages) - 1
	messageAllowed := f.maxMessages == 0 || recentMessages == 0 || float64(recentMessages) < maxRecentMessages
	return !needsMessage || messageAllowed
}

// probeDue reports whether a channel probe is due: the last unsettled batch was sent at least channelProbeSeconds ago.
// Each probe since the last acknowledgement extends this time, up to maxChannelProbeBackoff intervals.
func (f *flowControl) probeDue(now float64) bool {
	batches := f.account.batches
	if len(batches) == 0 {
		return false
	}
	wait := channelProbeSeconds * (1 + min(f.probes, maxChannelProbeBackoff))
	return now >= batches[len(batches)-1].at+wait
}

// reserveEntry counts one entry for each member of a subset as in flight.
func (p *Planner) reserveEntry(subset int) {
	s := &p.subsets[subset]
	recentMessages := len(s.messageTimes)
	if len(s.members) > 0 && (recentMessages == 0 || s.messageTimes[recentMessages-1] != p.now) {
		s.messageTimes = append(s.messageTimes, p.now)
	}
	p.reserve(s.members, 1)
	p.flow.account.countWeight(p.now, subset)
}

// reserve counts entries for each of the given proxies as in flight. The first reservation of a batch requests its
// acknowledgement.
func (p *Planner) reserve(proxies []int, entriesPerProxy float64) {
	if p.flow.account.reserve(p.now, proxies, entriesPerProxy) {
		p.host.RequestAck(p.flow.account.nonces % nonceModulo)
	}
}

// probeChannel binds a random connected proxy again if nothing was acknowledged for a long time. Without the probe, the
// channel could count as full forever: the proxies that should acknowledge the last nonce may have been replaced, and
// as nothing fits into the channel, nothing is sent that other proxies could acknowledge. The acknowledgement of the
// probe confirms that all earlier commands have left the channel.
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

// InFlight returns an upper bound of the number of entries in flight to the proxies.
func (p *Planner) InFlight() float64 { return p.flow.account.entries }

// CommandsAccepted records that the call with a nonce was accepted, which means that its commands were carried out.
func (p *Planner) CommandsAccepted(now float64, nonce int) {
	p.now = now
	p.flow.account.accept(nonce)
}

// CommandsRetried records that the call with a nonce is sent again after an unknown outcome: the commands may have been
// carried out already, all of them (full) or only the first part of them.
func (p *Planner) CommandsRetried(now float64, nonce int, full bool) {
	p.now = now
	p.flow.account.countRetry(nonce, full)
}

// Acknowledged records that a proxy has applied all commands up to a nonce.
func (p *Planner) Acknowledged(now float64, proxy, nonce int) {
	p.now = now
	if p.flow.account.acknowledge(proxy, nonce) {
		p.flow.probes = 0
	}
}
