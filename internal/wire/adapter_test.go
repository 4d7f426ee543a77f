package wire

import (
	"bytes"
	"strings"
	"testing"
)

const beginLine = "BEGIN\ti=3\tnonce64=18446744073709551615\tfacts={\"me\":0,\"replicasOfMe\":2,\"unknown\":{\"a\":1}," +
	"\"classes\":[{\"name\":\"read\",\"value\":1,\"objectiveUs\":500000,\"deadlineUs\":2000000,\"effect\":\"odd\"}]}\n"

func serve(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

// Each empty batch gets an empty reply, and the end of the input is not an error.
func TestEmptyBatchesAreAnsweredUntilTheInputEnds(t *testing.T) {
	out, err := serve(t, "SYNC\twallUs=8\nYOUR_TURN\nSYNC\twallUs=9\nYOUR_TURN\n")
	if err != nil || out != "NEXT\nNEXT\n" {
		t.Fatalf("got output %q, error %v; want two empty replies", out, err)
	}
}

func TestRequestIsSentToAListedEndpoint(t *testing.T) {
	out, err := serve(t, "SYNC\twallUs=1000000\n"+beginLine+
		"MEMBERSHIP\ti=3\tform=cached\tgeneration=1\tmembers=1\nM\tbackend=10.0.0.1:80\taz=a\tlifecycle=on\n"+
		"SOMETHING_NEW\ti=3\tx=1\n"+
		"ARRIVAL\ti=3\tcall=4294967295\tqos=read\tterms=none\tholder=aa\tgiveUpAtUs=3000000\tnew=1\nYOUR_TURN\n")
	if err != nil || !strings.Contains(out, "TRANSMIT\ti=3\tcall=4294967295\tbackend=10.0.0.1:80\n") {
		t.Fatalf("got output %q, error %v; want a TRANSMIT line for request 4294967295", out, err)
	}
}

func TestRestartsInOneBatchAreAnsweredOnce(t *testing.T) {
	in := "SYNC\twallUs=1\n" + strings.Repeat(beginLine+"DESTROY\ti=3\n", 50) + "DROPPED\ti=3\tcall=1\nYOUR_TURN\n"
	if out, err := serve(t, in); err != nil || out != "NEXT\n" {
		t.Fatalf("got output %q, error %v; want one empty reply", out, err)
	}
}

func TestInvalidSettingsAreReportedAsAFault(t *testing.T) {
	out, err := serve(t, "SYNC\twallUs=1\nBEGIN\ti=3\tnonce64=1\tfacts={}\nYOUR_TURN\n")
	if err != nil || !strings.HasPrefix(out, "PANIC\ti=3\ttext=") {
		t.Fatalf("got output %q, error %v; want a PANIC line of instance 3", out, err)
	}
}
