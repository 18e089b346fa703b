package batch

import "sort"

// group is the samples of one prompt; they count for the trainer only when all are there.
type group struct {
	id     string
	items  []*Item
	length int64 // expected output tokens of its longest item
}

// groupsOf parts the items by group, in the order of their first item.
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
		g.length = max(g.length, item.Length)
	}
	return groups
}

// orderItems decides which items begin first. Load pattern: a step whose samples do not all
// fit at once, of which the trainer needs only some groups. The longest groups beyond what
// it needs begin last, since they would take slots from groups that end a step. Of the
// needed ones the longest items begin first, whichever group they are of: the step ends
// with the longest text, and one that waits for a place ends that much later.
func orderItems(groups []*group, needed int) []*Item {
	ordered := append([]*group(nil), groups...)
	if needed <= 0 || needed > len(ordered) {
		needed = len(ordered)
	}
	sort.SliceStable(ordered, func(a, b int) bool { return ordered[a].length < ordered[b].length })
	first, rest := itemsOf(ordered[:needed]), itemsOf(ordered[needed:])
	sort.SliceStable(first, func(a, b int) bool { return first[a].Length > first[b].Length })
	return append(first, rest...)
}

func itemsOf(groups []*group) []*Item {
	var items []*Item
	for _, g := range groups {
		items = append(items, g.items...)
	}
	return items
}
