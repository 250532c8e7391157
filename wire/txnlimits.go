package wire

import (
	"encoding/json"
	"fmt"
)

// MaxTxnBytes is the maximum size of a transaction in its JSON form, in bytes (protocol, "Limits and errors").
const MaxTxnBytes = 64 << 10

// ConditionsPerMutation is the ratio of the state service's limit of conditions in a transaction to its
// limit of mutations. The limit of conditions does not depend on the actual number of mutations.
const ConditionsPerMutation = 4

// TxnLimits are the limits of the state service for one transaction.
type TxnLimits struct {
	MaxMutations  int // maximum number of mutations (puts and deletes); 0: no limit
	MaxValueBytes int // maximum bytes of each value in its JSON form; 0: no limit
}

// TxnLimitError means that a transaction exceeds a limit.
type TxnLimitError struct {
	Key   string // key whose value is too large; empty for limits of the whole transaction
	Unit  string // unit of Size and Limit, such as "changes"
	Size  int
	Limit int
}

// Error returns one line with the size and the limit.
func (e *TxnLimitError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("%s: a value of %d %s, of %d at most", e.Key, e.Size, e.Unit, e.Limit)
	}
	return fmt.Sprintf("%d %s, of %d at most", e.Size, e.Unit, e.Limit)
}

// Check returns a TxnLimitError for the first limit that the transaction exceeds. The state service
// rejects such a transaction with 400.
func (l TxnLimits) Check(txn Txn) error {
	if l.MaxMutations > 0 {
		if changes := len(txn.Mutations); changes > l.MaxMutations {
			return &TxnLimitError{Unit: "changes", Size: changes, Limit: l.MaxMutations}
		}
		maxConditions := ConditionsPerMutation * l.MaxMutations
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
	if l.MaxValueBytes == 0 {
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
		if size > l.MaxValueBytes {
			return &TxnLimitError{Key: mutation.Put, Unit: "bytes", Size: size, Limit: l.MaxValueBytes}
		}
	}
	return nil
}

// jsonSize returns the size of a message's JSON form in bytes.
func jsonSize(message any) (int, error) {
	encoded, err := Marshal(message)
	if err != nil {
		return 0, err
	}
	var decoded any
	if err := Unmarshal(encoded, &decoded); err != nil {
		return 0, err
	}
	jsonText, err := json.Marshal(decoded)
	return len(jsonText), err
}
