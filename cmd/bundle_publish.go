package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func runBundlePublish(args []string, stdout, stderr io.Writer) ExitCode {
	flags := bundleFlags("publish", "-settings FILE [flags] BUNDLE",
		"Checks BUNDLE and BUNDLE.sign_off, appends them to the log and waits until the record is folded.\n"+
			"Exit code 0 only when the bundle was accepted.", stderr)
	var log logFlags
	log.register(flags)
	operator := flags.String("operator", "", "who publishes; the bundle's approver when left out")
	if code, ok := parseFlags(flags, args, 1, 1); !ok {
		return code
	}
	if log.settings == "" {
		flags.Usage()
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), log.timeout)
	defer cancel()
	p := publication{stdout: stdout, path: flags.Arg(0), operator: *operator}
	if err := p.publish(ctx, &log); err != nil {
		return failBundle(stderr, err)
	}
	return ExitDone
}

// publication is one attempt to bring a bundle into force.
type publication struct {
	stdout   io.Writer
	path     string
	operator string
}

func (p publication) publish(ctx context.Context, log *logFlags) error {
	bundle, err := readBundle(p.path)
	if err != nil {
		return err
	}
	signOffs, err := readSignOffs(signOffPath(p.path))
	if err != nil {
		return err
	}
	signed := bundler.Signed{Raw: bundle.Raw(), SignOffs: signOffs.SignOffs()}
	reader, err := log.open(ctx)
	if err != nil {
		return err
	}
	defer reader.close()
	if err := precheck(reader, signed, bundle); err != nil {
		fmt.Fprintln(p.stdout, "nothing was appended")
		return err
	}
	verdict, err := appendAndAwait(ctx, reader, p.envelope(bundle, signed))
	if err != nil {
		return err
	}
	return p.report(bundle, verdict)
}

// precheck checks what the fold would refuse as the log stands, so that it need not be appended.
func precheck(reader *logReader, signed bundler.Signed, bundle *bundler.Bundle) error {
	inForce := reader.state.Bundle()
	if err := bundler.CheckSuccessor(inForce, bundle); err != nil {
		return err
	}
	if inForce == nil {
		return signed.VerifyAgainst(reader.genesis.FirstSigners)
	}
	return signed.VerifyAgainst(inForce.Signers())
}

func (p publication) envelope(bundle *bundler.Bundle, signed bundler.Signed) recorder.Envelope {
	operator := p.operator
	if operator == "" {
		operator = bundle.Approver()
	}
	id := identifier.RecordID(ulid.Make().String())
	return recorder.NewEnvelope(id, identifier.InstanceID(operator), time.Now(), recorder.PublishBundle{Signed: signed})
}

// appendAndAwait appends the record and returns the fold's verdict on it. It appends again when the log gave no answer:
// the fold takes a record once only.
func appendAndAwait(ctx context.Context, reader *logReader, envelope recorder.Envelope) (reducer.Verdict, error) {
	data, err := recorder.Encode(envelope)
	if err != nil {
		return nil, err
	}
	const unknown = "unknown whether the bundle was accepted (see bundle history)"
	appended := false
	for {
		if !appended {
			err := reader.append(ctx, data)
			if tailer.IsErrTooLarge(err) {
				return nil, err
			}
			appended = err == nil
		}
		verdict, err := reader.advance(ctx, envelope.ID(), logPollWait)
		if err != nil {
			return nil, errors.WithMessage(err, unknown)
		}
		if verdict != nil {
			return verdict, nil
		}
		if err := pauseLog(ctx, logRetryPause); err != nil {
			return nil, errors.Wrap(err, unknown)
		}
	}
}

func (p publication) report(bundle *bundler.Bundle, verdict reducer.Verdict) error {
	switch v := verdict.(type) {
	case reducer.Accepted:
		fmt.Fprintf(p.stdout, "accepted: %s version %d, digest %s\n", bundle.Name(), bundle.Version(), bundle.Digest())
		fmt.Fprintf(p.stdout, "  by %s, signed off by %s, appended by %s at %s\n", bundle.Author(), bundle.Approver(),
			v.Envelope.Author(), v.Envelope.Wall().Format(time.RFC3339))
		fmt.Fprintf(p.stdout, "  record %s at offset %d\n", v.Envelope.ID(), v.Offset)
		return nil
	case reducer.Refused:
		return errors.Errorf("refused at offset %d: %s: %s", v.Offset, v.Reason, v.Detail)
	default:
		return errors.New("no verdict")
	}
}
