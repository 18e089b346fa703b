package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
)

// stepDuration simulates a step on slots that each run one item at a time and returns when the
// needed-th group is complete. actual returns the true length of an item.
func stepDuration(items []*Item, slots, needed int, actual func(*Item) int64) int64 {
	free := make([]int64, slots)
	ends := map[string]int64{}
	for _, item := range items {
		sort.Slice(free, func(a, b int) bool { return free[a] < free[b] })
		free[0] += actual(item)
		ends[item.Group] = max(ends[item.Group], free[0])
	}
	var sorted []int64
	for _, end := range ends {
		sorted = append(sorted, end)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a] < sorted[b] })
	return sorted[needed-1]
}

func estimatedTokens(item *Item) int64 { return item.ExpectedTokens }

func stepGroups(lengths []int64) []*group {
	var items []Item
	for g, length := range lengths {
		for i := range 4 {
			items = append(items, Item{ID: fmt.Sprint(g, "-", i), Group: fmt.Sprint(g), ExpectedTokens: length})
		}
	}
	return groupsOf(items)
}

// More samples than slots, a few groups much longer than the others, and a trainer that needs
// 18 of 20 groups.
func TestOrderShortensStep(t *testing.T) {
	lengths := []int64{400, 30, 25, 40, 35, 30, 300, 28, 33, 41, 90, 29, 31, 36, 85, 27, 32, 38, 44, 26}
	const slots, needed = 12, 18
	arrivalOrder := stepDuration(itemsOf(stepGroups(lengths)), slots, needed, estimatedTokens)
	ordered := stepDuration(orderItems(stepGroups(lengths), needed), slots, needed, estimatedTokens)
	if float64(ordered) > 0.8*float64(arrivalOrder) {
		t.Errorf("the step takes %d, and %d in order of arrival", ordered, arrivalOrder)
	}
}

// The load of the benchmark ksfh-tide-grown: all of nine groups of 16 are needed, each group has
// one or two completions five times as long as the others, estimates are often far off, and there
// are slots for a sixth of the items while the other replicas load weights.
func TestLongestItemsOfNeededGroupsStartFirst(t *testing.T) {
	const groups, size, slots = 9, 16, 24
	random := rand.New(rand.NewPCG(1, 2))
	var inOrder, byGroup, byItem int64
	for range 50 {
		lengths := map[string]int64{}
		var items []Item
		for g := range groups {
			for i := range size {
				id := fmt.Sprint(g, "-", i)
				length := 20 * math.Exp(0.5*random.NormFloat64())
				if random.Float64() < 0.1 {
					length *= 5
				}
				lengths[id] = int64(length)
				items = append(items, Item{ID: id, Group: fmt.Sprint(g), ExpectedTokens: int64(length * math.Exp(0.5*random.NormFloat64()))})
			}
		}
		actual := func(item *Item) int64 { return lengths[item.ID] }
		longestFirst := groupsOf(items)
		sort.SliceStable(longestFirst, func(a, b int) bool { return longestFirst[a].maxExpectedTokens > longestFirst[b].maxExpectedTokens })
		inOrder += stepDuration(itemsOf(groupsOf(items)), slots, groups, actual)
		byGroup += stepDuration(itemsOf(longestFirst), slots, groups, actual)
		byItem += stepDuration(orderItems(groupsOf(items), groups), slots, groups, actual)
	}
	if float64(byItem) > 0.9*float64(byGroup) || byItem > inOrder {
		t.Errorf("a step takes %d with the longest items first, %d with the longest groups first, %d in order of arrival", byItem/50, byGroup/50, inOrder/50)
	}
}

func TestOrderKeepsAllItems(t *testing.T) {
	for _, needed := range []int{0, 3, 5, 9} {
		ordered := orderItems(stepGroups([]int64{5, 0, 7, 7, 1}), needed)
		seen := map[string]bool{}
		for _, item := range ordered {
			seen[item.ID] = true
		}
		if len(ordered) != 20 || len(seen) != 20 {
			t.Errorf("needed %d: got %d items, %d of them distinct, want 20", needed, len(ordered), len(seen))
		}
	}
}

func TestItemsWithoutGroupFormOwnGroups(t *testing.T) {
	if groups := groupsOf([]Item{{ID: "a"}, {ID: "b"}}); len(groups) != 2 {
		t.Errorf("got %d groups, want 2", len(groups))
	}
}
