package inifile

import "testing"

func TestLoadStripsCommentsAndKeepsLines(t *testing.T) {
	file, err := Load("f", []byte("; c\n[a]\nempty =     ; nothing\nnone=\nx = 1;2   ; two # three\n\n[team \"b\"] ; note\ny=/p#q\n"))
	if err != nil {
		t.Fatal(err)
	}
	a, team := file.Sections[0], file.Sections[1]
	want := []Entry{{"empty", "", 3}, {"none", "", 4}, {"x", "1;2", 5}}
	for i, w := range want {
		if a.Entries[i] != w {
			t.Errorf("entry %+v, want %+v", a.Entries[i], w)
		}
	}
	if team.Argument != "b" || team.Line != 7 || team.Entries[0] != (Entry{"y", "/p#q", 8}) {
		t.Errorf("team section %+v", team)
	}
}
