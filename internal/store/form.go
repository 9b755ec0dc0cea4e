package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

// contentFrame is the type of a body of two parts: JSON, and the data of its entries as it
// is, which in JSON would take a third more.
const contentFrame = "multipart/mixed"

// contentEarlierFrame is the type of a body that builds before multipart send to a process
// that says it reads packed entries: the length of the JSON as a varint, the JSON, and the
// data. It is read, never written. Refused, a store of such a build took the reader for one
// that reads plain entries only, and the group could not go on: its log holds packed ones.
const contentEarlierFrame = "application/x-dykewing-log"

var errFrame = errors.New("the frame is broken")

// frame is the JSON of a framed body. Its messages carry no data of entries, and neither
// of the replicas that the body names already.
type frame struct {
	messageBatch
	To    replication.ReplicaID `json:"to"`
	Sizes []int                 `json:"sizes,omitempty"` // of each entry's data, in order
	Sum   uint32                `json:"sum"`             // checksum of all data
}

// frameBatch writes a body of two parts, the JSON and the data of all entries, and gives its
// content type.
func frameBatch(to replication.ReplicaID, batch messageBatch) (contentType string, body []byte, err error) {
	framed := frame{messageBatch: batch, To: to}
	framed.Messages = make([]replication.WireMessage, len(batch.Messages))
	var data bytes.Buffer
	for i, message := range batch.Messages {
		if message.From == batch.From {
			message.From = ""
		}
		if message.To == to {
			message.To = ""
		}
		entries := make([]replication.Entry, len(message.Entries))
		for j, entry := range message.Entries {
			framed.Sizes = append(framed.Sizes, len(entry.Data))
			data.Write(entry.Data)
			framed.Sum = crc32.Update(framed.Sum, castagnoli, entry.Data)
			entry.Data = nil
			entries[j] = entry
		}
		message.Entries = entries
		framed.Messages[i] = message
	}
	head, err := json.Marshal(framed)
	if err != nil {
		return "", nil, err
	}
	var written bytes.Buffer
	parts := multipart.NewWriter(&written) // its boundary is random: no text can hold it
	for _, part := range [][]byte{head, data.Bytes()} {
		if err := writePart(parts, part); err != nil {
			return "", nil, err
		}
	}
	if err := parts.Close(); err != nil {
		return "", nil, err
	}
	return mime.FormatMediaType(contentFrame, map[string]string{"boundary": parts.Boundary()}), written.Bytes(), nil
}

func writePart(parts *multipart.Writer, data []byte) error {
	part, err := parts.CreatePart(nil)
	if err != nil {
		return err
	}
	_, err = part.Write(data)
	return err
}

// readParts gives the two parts of a framed body, whole.
func readParts(contentType string, body []byte) (head, data []byte, err error) {
	kind, parameters, err := mime.ParseMediaType(contentType)
	if err != nil || kind != contentFrame {
		return nil, nil, fmt.Errorf("%w: content type %q", errFrame, contentType)
	}
	boundary := parameters["boundary"]
	if !bytes.HasSuffix(body, []byte("--"+boundary+"--\r\n")) {
		return nil, nil, fmt.Errorf("%w: it has no end", errFrame)
	}
	parts := multipart.NewReader(bytes.NewReader(body), boundary)
	for _, into := range []*[]byte{&head, &data} {
		part, err := parts.NextRawPart()
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errFrame, err)
		}
		if *into, err = io.ReadAll(part); err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errFrame, err)
		}
	}
	if _, err := parts.NextRawPart(); err != io.EOF {
		return nil, nil, fmt.Errorf("%w: more than two parts", errFrame)
	}
	return head, data, nil
}

// readEarlierParts is readParts of an earlier build's frame.
func readEarlierParts(_ string, body []byte) (head, data []byte, err error) {
	size, n := binary.Uvarint(body)
	if n <= 0 || size > uint64(len(body)-n) {
		return nil, nil, fmt.Errorf("%w: its length", errFrame)
	}
	return body[n : n+int(size)], body[n+int(size):], nil
}

// openFrame reads what frameBatch wrote, here or in an earlier build. Every byte must be accounted for: entries are
// taken whole or not at all.
func openFrame(contentType string, body []byte) (messageBatch, error) {
	read := readParts
	if contentType == contentEarlierFrame {
		read = readEarlierParts
	}
	head, rest, err := read(contentType, body)
	if err != nil {
		return messageBatch{}, err
	}
	var framed frame
	if err := json.Unmarshal(head, &framed); err != nil {
		return messageBatch{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	sizes := framed.Sizes
	if crc32.Checksum(rest, castagnoli) != framed.Sum {
		return messageBatch{}, errFrame
	}
	for i := range framed.Messages {
		message := &framed.Messages[i]
		if message.From == "" {
			message.From = framed.From
		}
		if message.To == "" {
			message.To = framed.To
		}
		for j := range message.Entries {
			if len(sizes) == 0 || sizes[0] < 0 || sizes[0] > len(rest) {
				return messageBatch{}, errFrame
			}
			if sizes[0] > 0 {
				// A copy: the log keeps an entry for longer than its neighbours' bytes.
				message.Entries[j].Data = bytes.Clone(rest[:sizes[0]])
			}
			rest, sizes = rest[sizes[0]:], sizes[1:]
		}
	}
	if len(rest) > 0 || len(sizes) > 0 {
		return messageBatch{}, errFrame
	}
	return framed.messageBatch, nil
}

// readBatch reads a body in any form.
func readBatch(w http.ResponseWriter, r *http.Request, reads logform.Level) (messageBatch, *api.Error) {
	const step = "receive log messages"
	var batch messageBatch
	contentType := r.Header.Get("Content-Type")
	framed := strings.HasPrefix(contentType, contentFrame) || contentType == contentEarlierFrame
	if !framed || reads < logform.Packed {
		return batch, transport.ReadJSON(w, r, step, maximumMessagesBytes, &batch)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumMessagesBytes))
	if err == nil {
		batch, err = openFrame(contentType, body)
	}
	if err != nil {
		return batch, transport.BodyError(step, err)
	}
	return batch, nil
}

// writeCommand gives a command as an entry's data: packed where all members read it.
// Only there may results name what is kept in place of repeating it.
func writeCommand(command jobs.Command, packed bool) ([]byte, error) {
	if packed {
		command = command.Shortened()
	}
	data, err := json.Marshal(command)
	if err != nil || !packed {
		return data, err
	}
	return logform.Pack(data), nil
}

func readCommand(data []byte) (command jobs.Command, err error) {
	plain, err := logform.Open(data)
	if err != nil {
		return command, err
	}
	err = json.Unmarshal(plain, &command)
	return command, err
}

// mayPack tells whether the processes of all members of the group read packed entries, and
// logs each time that this changes.
func (g *group) mayPack() bool {
	members := g.members().Members
	unread := g.peers.unread(g.database.identity, logform.Packed, slices.Concat(members.Voters, members.Learners))
	packs := len(unread) == 0 && g.database.hooks.level() >= logform.Packed
	if g.packs.Swap(packs) != packs {
		g.log.WithFields(logrus.Fields{"event": "entry_form", "packed": packs, "unread": unread}).
			Info("Entries are packed only while all members' processes are known to read that.")
	}
	return packs
}

// readable tells whether a message may be sent to its replica: one whose process does not
// read an entry would take it for a command without effect, and its state would part
// from the others'. It is sent once that process has said that it reads it.
func (g *group) readable(message replication.WireMessage) bool {
	for _, entry := range message.Entries {
		if entry.Kind == replication.EntryCommand && logform.IsPacked(entry.Data) {
			return g.peers.level(message.To) >= logform.Packed
		}
	}
	return true
}
