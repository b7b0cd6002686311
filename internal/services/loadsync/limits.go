package loadsync

import (
	"time"

	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/services/pace"
)

// sharedLimits are the limits that upstreams have named, as last reported by any VM. The zero value is empty.
type sharedLimits map[id.Upstream]sharedLimit

type sharedLimit struct {
	pace.Limit
	at time.Duration // when a VM last reported it
}

// merge adds reported limits; the newest one of an upstream counts.
func (s sharedLimits) merge(now time.Duration, list []pace.Limit) sharedLimits {
	if s == nil && len(list) > 0 {
		s = sharedLimits{}
	}
	for _, l := range list {
		if old, ok := s[l.Upstream]; !ok || !old.Newer(l) {
			s[l.Upstream] = sharedLimit{l, now}
		}
	}
	return s
}

// list returns the limits and drops those that no VM has reported for reportTTL.
func (s sharedLimits) list(now time.Duration) (list []pace.Limit) {
	for n, l := range s {
		if now-l.at > reportTTL {
			delete(s, n)
			continue
		}
		list = append(list, l.Limit)
	}
	return list
}
