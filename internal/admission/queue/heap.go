package queue

// indexedHeap is a binary heap whose items store their own positions, so that any item can be removed or moved in
// logarithmic time. The heap calls setPosition whenever an item's position changes, and with -1 when the item is removed.
type indexedHeap[T any] struct {
	items       []T
	less        func(a, b T) bool
	setPosition func(item T, position int)
}

func (h *indexedHeap[T]) Len() int {
	return len(h.items)
}

// Push adds an item.
func (h *indexedHeap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setPosition(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at a position.
func (h *indexedHeap[T]) Remove(position int) {
	last := len(h.items) - 1
	h.swap(position, last)
	h.setPosition(h.items[last], -1)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if position < last {
		h.Fix(position)
	}
}

// Fix restores the heap order after the item at a position has changed.
func (h *indexedHeap[T]) Fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setPosition(h.items[i], i)
	h.setPosition(h.items[j], j)
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) (moved bool) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i, moved = child, true
	}
}
