package driver

// AddRelays puts a relay on the link from each host to each other host, so that SetPartition can block it. It must be called
// before the hosts are started.
func (c *Cluster) AddRelays() error {
	for _, from := range c.Hosts {
		for _, to := range c.Hosts {
			if from == to {
				continue
			}
			relay, err := NewRelay(to.Link)
			if err != nil {
				return err
			}
			to.LinkByPeer[from.Name] = relay.Address()
			c.relays[hostPair{from.Name, to.Name}] = relay
		}
	}
	return nil
}

// SetPartition blocks or restores all link traffic between two hosts, in both directions. An empty name stands for any host.
func (c *Cluster) SetPartition(one, other string, partitioned bool) {
	for between, relay := range c.relays {
		if between.matches(one, other) || between.matches(other, one) {
			relay.SetBlocked(partitioned)
		}
	}
}

// hostPair names the two hosts that a relay connects. The host from sends to the relay, which forwards to the host to.
type hostPair struct {
	from, to string
}

// matches reports whether the pair leads from the first host to the second. An empty name matches any host.
func (p hostPair) matches(from, to string) bool {
	return (from == "" || from == p.from) && (to == "" || to == p.to)
}
