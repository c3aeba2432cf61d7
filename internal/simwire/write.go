package simwire

import (
	"bufio"
	"encoding/hex"
	"strconv"

	"gullstair/logic"
)

// WriteAction writes one action of one broker. w keeps write errors until it is flushed.
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
	begin := func(word string) {
		w.WriteString(word)
		num("brokerId", broker)
	}
	switch a.Kind {
	case logic.Dispatch:
		begin("ATTEMPT")
		num("msgId", a.ID)
		num("node", a.Node)
		if a.After != 0 {
			sec("cap", a.After)
		}
	case logic.Recall:
		begin("REVOKE")
		num("msgId", a.ID)
		num("n", int64(a.Dispatch))
	case logic.Answer:
		begin("ANSWER")
		num("msgId", a.ID)
		flag("on", a.Whole)
	case logic.Throttle:
		begin("BOUNCE")
		num("msgId", a.ID)
		if a.After > 0 {
			sec("stayAway", a.After)
		}
	case logic.Abandon:
		begin("END_FAILED")
		num("msgId", a.ID)
	case logic.SetTimer:
		begin("DEFER")
		num("cookie", a.Timer)
		sec("sleepFor", a.After)
	case logic.Probe:
		begin("TOUCH")
		num("node", a.Node)
	case logic.Subscribe:
		begin("KEEP_INFORMED")
		flag("on", true)
	case logic.SendNote:
		begin("NOTIFY")
		w.WriteString(" peer=* contents=" + hex.EncodeToString(a.Note))
	case logic.WriteLog:
		begin("WRITE_LOG")
		w.WriteString(" bodyText=" + singleLine(a.Text))
	case logic.Fatal:
		begin("FATAL")
		w.WriteString(" bodyText=" + singleLine(a.Text))
	default:
		return
	}
	w.WriteByte('\n')
}

// WriteEnd ends the reply to one batch.
func WriteEnd(w *bufio.Writer) { w.WriteString("END\n") }
