package drive_test

import "testing"

// Guards the whole path: claim, fence, Ready, adoption, grants and lanes, with a single instance.
func TestOneInstanceServesAllSlots(t *testing.T) {
	r := newRig(t, 1, 4, true)
	took := r.eventually("all slots served", r.served)
	t.Logf("all slots served after %v", took)
}
