package worker

import "container/list"

// partSet is an LRU set of the prompt parts sent to a worker, bounded by their tokens.
type partSet struct {
	order  *list.List // of Part, most recently used first
	byID   map[string]*list.Element
	tokens int
}

func newPartSet() *partSet {
	return &partSet{order: list.New(), byID: map[string]*list.Element{}}
}

// cachedTokens returns the number of tokens of the leading parts in the set; 0 for a nil
// set.
func (s *partSet) cachedTokens(parts []Part) int {
	if s == nil {
		return 0
	}
	tokens := 0
	for _, part := range parts {
		if _, ok := s.byID[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add marks the parts as used and evicts the least recently used ones over the bound.
func (s *partSet) add(parts []Part, bound int) {
	for i := len(parts) - 1; i >= 0; i-- {
		s.touch(parts[i])
	}
	for s.tokens > bound && s.order.Len() > 0 {
		last := s.order.Back()
		part := s.order.Remove(last).(Part)
		delete(s.byID, part.ID)
		s.tokens -= part.Tokens
	}
}

func (s *partSet) touch(part Part) {
	if known, ok := s.byID[part.ID]; ok {
		s.order.MoveToFront(known)
		return
	}
	s.byID[part.ID] = s.order.PushFront(part)
	s.tokens += part.Tokens
}
