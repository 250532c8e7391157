package wire

import (
	"encoding/json"
	"fmt"
)

// MaxTxnBytes is the most bytes of a transaction, counted in JSON (protocol, "Limits and errors").
const MaxTxnBytes = 64 << 10

// ConditionsPerChange is how many conditions a transaction may have for each change that the
// state service allows it.
const ConditionsPerChange = 4

// TxnLimits are the limits of the state service for one transaction.
type TxnLimits struct {
	Changes    int // puts and deletes; 0: any number
	ValueBytes int // of each value in JSON; 0: any number
}

// Check returns an error that names the first limit that the transaction exceeds. The state
// service answers such a transaction with 400.
func (l TxnLimits) Check(txn Txn) error {
	if l.Changes > 0 && len(txn.Mutations) > l.Changes {
		return fmt.Errorf("%d changes, of %d at most", len(txn.Mutations), l.Changes)
	}
	if most := ConditionsPerChange * l.Changes; l.Changes > 0 && len(txn.Conditions) > most {
		return fmt.Errorf("%d conditions, of %d at most", len(txn.Conditions), most)
	}
	for _, change := range txn.Mutations {
		if change.Delete != "" || l.ValueBytes == 0 {
			continue
		}
		size, err := jsonSize(change.Value)
		if err != nil {
			return err
		}
		if size > l.ValueBytes {
			return fmt.Errorf("%s: a value of %d bytes, of %d at most", change.Put, size, l.ValueBytes)
		}
	}
	size, err := jsonSize(txn)
	if err != nil {
		return err
	}
	if size > MaxTxnBytes {
		return fmt.Errorf("%d bytes in all, of %d at most", size, MaxTxnBytes)
	}
	return nil
}

// jsonSize is the size of a message's JSON form.
func jsonSize(message any) (int, error) {
	packed, err := Marshal(message)
	if err != nil {
		return 0, err
	}
	var loose any
	if err := Unmarshal(packed, &loose); err != nil {
		return 0, err
	}
	text, err := json.Marshal(loose)
	return len(text), err
}
