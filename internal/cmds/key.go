package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"trefoildale.example/trefoildale/pkg/admin"
	"trefoildale.example/trefoildale/pkg/spec"
)

// secretVariable is the environment variable with the secret of a key when key add
// is repeated. With a flag, the secret would be visible in the process list.
const secretVariable = "TREFOIL_SECRET"

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "add and withdraw keys",
		Commands: []*cli.Command{
			{
				Name:      "add",
				Usage:     "add a key to a workspace and print its secret, which is not stored",
				ArgsUsage: "ID WORKSPACE",
				Flags:     []cli.Flag{authorFlag(), opIDFlag()},
				Action:    keyAdd,
			},
			{
				Name:      "withdraw",
				Usage:     "withdraw a key; it stops working within 5 s, for running streams too",
				ArgsUsage: "ID",
				Flags:     []cli.Flag{authorFlag(), opIDFlag()},
				Action:    keyWithdraw,
			},
		},
	}
}

func checkOpID(cmd *cli.Command) (string, error) {
	opID := cmd.String("op-id")
	if opID == "" {
		return "", nil
	}
	if _, err := spec.BaseOf(opID); err != nil {
		return "", Usagef("--op-id: %w", err)
	}
	return opID, nil
}

func keyAdd(ctx context.Context, cmd *cli.Command) error {
	args, err := operands(cmd, "ID", "WORKSPACE")
	if err != nil {
		return err
	}
	opID, err := checkOpID(cmd)
	if err != nil {
		return err
	}
	secret := os.Getenv(secretVariable)
	if (opID == "") != (secret == "") {
		return Usagef("--op-id: an addition is repeated with the secret of the first attempt in %s", secretVariable)
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	k, err := client.AddKey(ctx, admin.KeyRequest{
		Author:    cmd.String("author"),
		ID:        args[0],
		Workspace: args[1],
		OpID:      opID,
		Secret:    secret,
	})
	var unknown *admin.UnknownError
	if errors.As(err, &unknown) {
		fmt.Fprintf(cmd.Root().Writer, "secret: %s\n", k.Secret)
		return fmt.Errorf("%w; set %s to the secret printed", err, secretVariable)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "key %s of workspace %s added in revision %d\nsecret: %s\n", k.ID, args[1], k.Revision, k.Secret)
	warnUnspread(cmd, &k.Applied)
	return nil
}

func keyWithdraw(ctx context.Context, cmd *cli.Command) error {
	args, err := operands(cmd, "ID")
	if err != nil {
		return err
	}
	opID, err := checkOpID(cmd)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	done, err := client.WithdrawKey(ctx, cmd.String("author"), args[0], opID)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "key %s withdrawn in revision %d; no node honours it 5 s from now\n", args[0], done.Revision)
	warnUnspread(cmd, done)
	return nil
}
