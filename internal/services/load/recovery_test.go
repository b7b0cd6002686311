package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRecover(t *testing.T) {
	const second = time.Second
	run := func(bad ...int) (list []Outcome) {
		for i := range 20 {
			for range 10 {
				list = append(list, Outcome{Arrival: Arrival{At: time.Duration(i) * second}, Correct: true})
			}
			for _, b := range bad {
				for k := range 5 {
					if b == i {
						list[10*i+k].Correct = false
					}
				}
			}
		}
		return list
	}
	for name, c := range map[string]struct {
		bad  []int
		want Recovery
	}{
		"at once":        {[]int{8, 9}, Recovery{1, 0.5, 0}},
		"after two":      {[]int{8, 9, 10, 11}, Recovery{1, 0.5, 2 * second}},
		"down once more": {[]int{8, 9, 13}, Recovery{1, 0.5, 4 * second}},
		"never":          {[]int{8, 9, 19}, Recovery{1, 0.5, -1}},
		"unsound before": {[]int{2, 3, 4, 5, 6, 7, 8, 9, 12}, Recovery{0.5, 0.5, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Recover(&Options{}, run(c.bad...), 8*second, 10*second, 20*second))
		})
	}
}
