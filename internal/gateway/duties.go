package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// dutyKeeper decides whether this host makes the calls of the duties. The control loop owns
// it.
type dutyKeeper struct{}

// holder returns the holder to name in a call that begins now, or false if this host may not
// make one.
func (k *dutyKeeper) holder(time.Time) (port.DutyHolder, bool) { return port.DutyHolder{}, false }

// refused records that the platform refused a call by this host with a fence. This host makes
// no more calls with it.
func (k *dutyKeeper) refused(time.Time, model.Offset) {}
