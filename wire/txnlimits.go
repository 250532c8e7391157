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

// TxnLimitError says which limit a transaction exceeds.
type TxnLimitError struct {
	Key   string // with a value that is too large; empty if the whole transaction is
	Unit  string // of size and limit, such as "changes"
	Size  int
	Limit int
}

// Error is one line with the size and the limit.
func (e *TxnLimitError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("%s: a value of %d %s, of %d at most", e.Key, e.Size, e.Unit, e.Limit)
	}
	return fmt.Sprintf("%d %s, of %d at most", e.Size, e.Unit, e.Limit)
}

// Check returns a TxnLimitError for the first limit that the transaction exceeds. The state
// service answers such a transaction with 400.
func (l TxnLimits) Check(txn Txn) error {
	if l.Changes > 0 {
		if changes := len(txn.Mutations); changes > l.Changes {
			return &TxnLimitError{Unit: "changes", Size: changes, Limit: l.Changes}
		}
		maxConditions := ConditionsPerChange * l.Changes
		if conditions := len(txn.Conditions); conditions > maxConditions {
			return &TxnLimitError{Unit: "conditions", Size: conditions, Limit: maxConditions}
		}
	}
	if err := l.checkValues(txn.Mutations); err != nil {
		return err
	}
	size, err := jsonSize(txn)
	if err != nil {
		return err
	}
	if size > MaxTxnBytes {
		return &TxnLimitError{Unit: "bytes in all", Size: size, Limit: MaxTxnBytes}
	}
	return nil
}

func (l TxnLimits) checkValues(mutations []Mutation) error {
	if l.ValueBytes == 0 {
		return nil
	}
	for _, mutation := range mutations {
		if mutation.Delete != "" {
			continue
		}
		size, err := jsonSize(mutation.Value)
		if err != nil {
			return err
		}
		if size > l.ValueBytes {
			return &TxnLimitError{Key: mutation.Put, Unit: "bytes", Size: size, Limit: l.ValueBytes}
		}
	}
	return nil
}

// jsonSize is the size of a message's JSON form in bytes.
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
