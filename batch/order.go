package batch

import "sort"

// group is the samples of one prompt; the trainer uses them only when all are complete.
type group struct {
	id                string
	items             []*Item
	maxExpectedTokens int64 // expected output tokens of its longest item
}

// groupsOf partitions the items by group, in the order of each group's first item. An item
// without a group forms its own.
func groupsOf(items []Item) []*group {
	var groups []*group
	byID := map[string]*group{}
	for i := range items {
		item := &items[i]
		g := byID[item.Group]
		if g == nil || item.Group == "" {
			g = &group{id: item.Group}
			byID[item.Group] = g
			groups = append(groups, g)
		}
		g.items = append(g.items, item)
		g.maxExpectedTokens = max(g.maxExpectedTokens, item.ExpectedTokens)
	}
	return groups
}

// orderItems decides the order in which items start. Load pattern: the samples of a step do not
// all fit at once, and the trainer needs only some of its groups. The longest groups beyond
// those needed start last, since they would take slots from groups that complete the step. Among
// the needed groups the longest items start first, regardless of their group: the step ends with
// its longest completion, and any delay of that item's start delays the step by as much.
func orderItems(groups []*group, needed int) []*Item {
	ordered := append([]*group(nil), groups...)
	if needed <= 0 || needed > len(ordered) {
		needed = len(ordered)
	}
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].maxExpectedTokens < ordered[b].maxExpectedTokens })
	first, rest := itemsOf(ordered[:needed]), itemsOf(ordered[needed:])
	sort.SliceStable(first, func(a, b int) bool { return first[a].ExpectedTokens > first[b].ExpectedTokens })
	return append(first, rest...)
}

func itemsOf(groups []*group) []*Item {
	var items []*Item
	for _, g := range groups {
		items = append(items, g.items...)
	}
	return items
}
