package dispatch

import (
	"strconv"

	"wagtaillift/internal/models/engine"
)

const headerIncarnation = "Wagtaillift-Incarnation"

func incarnationOf(a engine.Announcement) string { return strconv.FormatUint(a.Incarnation, 10) }
