package simwire

import (
	"bufio"
	"encoding/hex"
	"strconv"

	"gullstair/logic"
)

// WriteAction writes one action of one broker. Write errors stay with w until it is flushed.
func WriteAction(w *bufio.Writer, broker int64, a logic.Action) {
	num := func(name string, v int64) {
		w.WriteString(" " + name + "=" + strconv.FormatInt(v, 10))
	}
	sec := func(name string, ms float64) {
		w.WriteString(" " + name + "=" + strconv.FormatFloat(ms/1000, 'f', 9, 64))
	}
	flag := func(name string, on bool) {
		v := int64(0)
		if on {
			v = 1
		}
		num(name, v)
	}
	head := func(word string) {
		w.WriteString(word)
		num("brokerId", broker)
	}
	switch a.Kind {
	case logic.Dispatch:
		head("ATTEMPT")
		num("msgId", a.ID)
		num("node", a.Node)
		if a.After != 0 {
			sec("cap", a.After)
		}
	case logic.Recall:
		head("REVOKE")
		num("msgId", a.ID)
		num("n", int64(a.Dispatch))
	case logic.Answer:
		head("ANSWER")
		num("msgId", a.ID)
		flag("on", a.Whole)
	case logic.Throttle:
		head("BOUNCE")
		num("msgId", a.ID)
		if a.After > 0 {
			sec("stayAway", a.After)
		}
	case logic.Abandon:
		head("END_FAILED")
		num("msgId", a.ID)
	case logic.SetTimer:
		head("DEFER")
		num("cookie", a.Timer)
		sec("sleepFor", a.After)
	case logic.Probe:
		head("TOUCH")
		num("node", a.Node)
	case logic.Subscribe:
		head("KEEP_INFORMED")
		flag("on", true)
	case logic.Tell:
		head("NOTIFY")
		w.WriteString(" peer=* contents=" + hex.EncodeToString(a.Note))
	case logic.Note:
		head("WRITE_LOG")
		w.WriteString(" bodyText=" + oneLine(a.Text))
	case logic.Fatal:
		head("FATAL")
		w.WriteString(" bodyText=" + oneLine(a.Text))
	default:
		return
	}
	w.WriteByte('\n')
}

// WriteEnd closes the reply to one batch.
func WriteEnd(w *bufio.Writer) { w.WriteString("END\n") }
