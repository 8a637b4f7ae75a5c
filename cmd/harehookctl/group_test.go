package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
)

func TestDifference(t *testing.T) {
	for _, c := range []struct{ from, to, want []string }{
		{[]string{"a", "b", "c"}, []string{"a", "x", "c"}, []string{"-b", "+x"}},
		{[]string{"a", "b"}, []string{"a", "b"}, nil},
		{[]string{"a", "a"}, []string{"a"}, []string{"-a"}},
		{nil, []string{"a"}, []string{"+a"}},
		{[]string{"a", "b", "c", "d"}, []string{"b", "x", "d", "e"}, []string{"-a", "-c", "+x", "+e"}},
	} {
		if got := difference(c.from, c.to); !slices.Equal(got, c.want) {
			t.Errorf("difference of %q and %q: got %q, want %q", c.from, c.to, got, c.want)
		}
	}
}

// Long texts that differ in a few places far apart would need a table beyond maxSubsequencePairs, so they are compared
// as sets of lines. Without repeated or moved lines this must give the same lines as the longest common subsequence.
func TestDifferenceOfLongTexts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var from, to []string
	for i := range 20000 {
		line := fmt.Sprintf("line %05d", i)
		from, to = append(from, line), append(to, line)
	}
	want := 0
	for range 20 {
		at := random.IntN(len(to))
		if to[at] == from[at] {
			want++
		}
		to[at] += " changed"
	}
	lines := difference(from, to)
	if len(lines) != 2*want {
		t.Errorf("got %d lines, want %d", len(lines), 2*want)
	}
	small := differenceBySubsequence([]string{"a", "b", "c"}, []string{"c", "d"})
	if bySet := differenceBySet([]string{"a", "b", "c"}, []string{"c", "d"}); !slices.Equal(small, bySet) {
		t.Errorf("got %q by set, want %q as by the longest common subsequence", bySet, small)
	}
}

// Scripts of earlier releases set the controller's address with the flag "--conductor". It must still work, like
// "--controller".
func TestFormerAddressFlag(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	for _, flag := range []string{"--controller", "--conductor"} {
		if code := run([]string{flag, address, "sidecars"}); code != exitUnavailable {
			t.Errorf("%s: got exit code %d, want %d as no server listens on %s", flag, code, exitUnavailable, address)
		}
	}
}
