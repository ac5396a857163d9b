package controller

import (
	"slices"
	"testing"
	"time"

	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// held is a message of the predecessor that holds ID 1.
var held = hotrestart.IDMessage{Kind: hotrestart.HeldIDs, IDs: []uint64{1}}

// openMidStream opens a session with ID 1 whose connection may come from the predecessor.
func openMidStream(t *testing.T, controller *Controller) {
	t.Helper()
	controller.SessionOpened(time.Second, readOpenLine(t, controller, 7, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000,mid=1\r\n"))
}

// takeMessages returns the messages about IDs since the last call.
func (d *fakeDriver) takeMessages() []string {
	messages := d.idMessages
	d.idMessages = nil
	return messages
}

// Guards against a second run of a request at the third of three processes: a connection that waited in the second for the end
// of the first is claimed at the third before it is forwarded.
func TestController_ConnectionFromExitedPredecessorIsClaimedAtSuccessor(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.HandlePredecessorMessage(time.Second, held)
	controller.HandleSuccessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.ShareIDs})
	openMidStream(t, controller)
	if driver.takeMessages(); len(driver.commands[7]) != 0 {
		t.Fatalf("commands %+v while the predecessor holds the ID", driver.commands[7])
	}
	controller.PredecessorExited(time.Second)
	if got, want := driver.takeMessages(), []string{"1 IDS RELEASE 1", "1 IDS CLAIM 1 1"}; !slices.Equal(got, want) {
		t.Errorf("messages %q, want %q", got, want)
	}
	if len(driver.commands[7]) != 0 {
		t.Fatalf("commands %+v before the successor has granted the ID", driver.commands[7])
	}
	controller.HandleSuccessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.GrantID, Claim: 1})
	if driver.lastBackend(7) == nil {
		t.Error("the request is not forwarded after the grant")
	}
}

// Guards against a mid-stream connection that is answered ERR after 250 ms although the predecessor has ended its session with
// the same ID, and goes on running: it was noticed only when the predecessor exited.
func TestController_ConnectionGoesOnWhenPredecessorReleasesItsID(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.HandlePredecessorMessage(time.Second, held)
	openMidStream(t, controller)
	controller.HandlePredecessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.ReleaseID, IDs: []uint64{2}})
	if len(driver.commands[7]) != 0 {
		t.Fatalf("commands %+v while the predecessor holds the ID", driver.commands[7])
	}
	controller.HandlePredecessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.ReleaseID, IDs: []uint64{1}})
	if driver.lastBackend(7) == nil {
		t.Errorf("commands %+v after the release, want an attempt", driver.commands[7])
	}
}

// Guards against an ID that the successor takes for free although the predecessor still has its request.
func TestController_SecondRequestDoesNotReleaseIDOfPredecessor(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.HandlePredecessorMessage(time.Second, held)
	controller.HandleSuccessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.ShareIDs})
	openMidStream(t, controller)
	driver.takeMessages()
	controller.FireTimers(time.Second + claimTimeout)
	if got := driver.commands[7]; len(got) != 1 || got[0].Answer != protocol.AnswerFailed {
		t.Errorf("commands %+v after the wait, want the answer %q", got, protocol.AnswerFailed)
	}
	controller.SessionClosed(2*time.Second, 7)
	if got := driver.takeMessages(); len(got) != 0 {
		t.Errorf("messages %q, want none", got)
	}
}

// Guards against a request that is forwarded although its client has left while it waited, and an ID that is never released.
func TestController_ClientLeavesWhileItsIDIsClaimed(t *testing.T) {
	controller, driver := newTestController(t, testConfig())
	controller.HandleSuccessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.ShareIDs})
	controller.SessionOpened(time.Second, readOpenLine(t, controller, 7, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000\r\n"))
	controller.SessionEvent(time.Second, 7, session.Event{Kind: session.ClientLeft})
	controller.HandleSuccessorMessage(time.Second, hotrestart.IDMessage{Kind: hotrestart.GrantID, Claim: 1})
	controller.SessionClosed(time.Second, 7)
	if got, want := driver.takeMessages(), []string{"1 IDS SHARED", "1 IDS CLAIM 1 1", "1 IDS RELEASE 1"}; !slices.Equal(got, want) {
		t.Errorf("messages %q, want %q", got, want)
	}
	if len(driver.commands[7]) != 0 || controller.SessionCount() != 0 || len(controller.requestIDs.waiting) != 0 {
		t.Errorf("commands %+v, %d sessions, %d waiting; want none", driver.commands[7], controller.SessionCount(), len(controller.requestIDs.waiting))
	}
}

// Guards against a second run of a request whose client has left: at 8,000 requests a second its ID was forgotten after 1 s.
func TestController_IDOfClientThatLeftIsNotServedAgainAtFullSpeed(t *testing.T) {
	const perSecond, seconds = 8000, 3
	controller, driver := newTestController(t, testConfig())
	for i := range uint64(perSecond * seconds) {
		now := time.Second + time.Duration(i)*time.Second/perSecond
		establishSession(t, controller, driver, i+1, now)
		controller.SessionClosed(now, i+1)
	}
	const again = perSecond // its client left two seconds ago
	reopened := readOpenLine(t, controller, perSecond*seconds+1, openLine(again))
	controller.SessionOpened((1+seconds)*time.Second, reopened)
	if commands := driver.commands[reopened.Seq]; len(commands) != 1 || commands[0].Answer != protocol.AnswerFailed {
		t.Errorf("commands %+v, want the answer ERR", commands)
	}
}
