package document

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// randomDocument returns a random valid document.
func randomDocument(r *rand.Rand) *Document {
	name := func() string { return fmt.Sprintf("n%d.%c-x", r.Intn(1000), 'a'+rune(r.Intn(26))) }
	duration := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int63n(int64(high-low)+1)) }
	d := &Document{Service: name(), Team: name(), Region: name(), Kind: KindPlain, Pool: name()}
	if r.Intn(2) == 0 {
		d.Kind = KindModel
		d.Samples = Samples{
			StalenessBound: r.Intn(1001), Preference: PreferStaleness, GroupSize: 1 + r.Intn(256), MaxTokens: 1 + r.Intn(131072),
			Hedges: r.Intn(2), HedgeBudget: r.Intn(101), StepTime: duration(time.Second, maxDuration),
		}
	}
	d.Requests = Requests{Deadline: duration(10*time.Millisecond, maxDuration), QueueLimit: r.Intn(100001)}
	for range r.Intn(4) {
		d.Requests.NonIdempotent = append(d.Requests.NonIdempotent, Match{Method: []string{"POST", "*", "PUT"}[r.Intn(3)], Path: "/" + name()})
	}
	d.Retry = Retry{Attempts: 1 + r.Intn(10), Budget: r.Intn(101)}
	for i := range r.Intn(4) {
		d.Teams = append(d.Teams, TeamShare{Team: fmt.Sprintf("t%d", i), Weight: 1 + r.Intn(1000), Limit: r.Intn(100001)})
	}
	d.Servers = Servers{
		LeaveBound: duration(0, 5*time.Minute), DrainTime: duration(0, maxDuration),
		MaxInFlight: 1 + r.Intn(10000), ChecksFencing: r.Intn(2) == 0,
	}
	return d
}

func TestFormatAndParseRoundTrip(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("Parse returns the document that Format wrote", prop.ForAll(func(seed int64) string {
		want := randomDocument(rand.New(rand.NewSource(seed)))
		got, err := Parse("f.ini", Format(want))
		if err != nil {
			return err.Error()
		}
		if !reflect.DeepEqual(got, want) {
			return fmt.Sprintf("got %+v, want %+v", got, want)
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}

var positionPrefix = regexp.MustCompile(`^f\.ini:\d+: `)

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("../examples/documents/*.ini")
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(source)
	}
	f.Add([]byte("[service]\nname = a ; b\n[team \"x\"]\nweight=1\n"))
	f.Add([]byte("[a\n]=`\"\"\"%(x)s\\\n"))
	f.Fuzz(func(t *testing.T, source []byte) {
		d, err := Parse("f.ini", source)
		if err != nil {
			if !positionPrefix.MatchString(err.Error()) || fault.RemedyOf(err) == "" || fault.KindOf(err) == fault.Internal {
				t.Errorf("error %q of kind %v has no position or remedy, or is internal", err, fault.KindOf(err))
			}
			return
		}
		reparsed, err := Parse("f.ini", Format(d))
		if err != nil || !reflect.DeepEqual(reparsed, d) {
			t.Errorf("document differs after a round trip: %v\ngot  %+v\nwant %+v", err, d, reparsed)
		}
	})
}
