/** Finds the protocol of each head in the bytes of a response; it looks at no byte after the start of the final head. */
export interface ProtocolScanner {
  /** Begins with the first head of the next response. */
  start: () => void;
  scan: (chunk: Buffer) => void;
  /** First eight bytes of each head so far. */
  listProtocols: () => readonly string[];
}

const PROTOCOL_BYTES = 8; // HTTP/1.1
const START_BYTES = 10; // and a blank and the first digit of the status
const CR = 0x0d;
const LF = 0x0a;

/** What the next byte belongs to. */
const Position = { start: 'start', interimHead: 'interimHead', rest: 'rest' } as const;
type Position = (typeof Position)[keyof typeof Position];

/** Creates a scanner; the client that parses the same bytes refuses what is no head. */
export function createProtocolScanner(): ProtocolScanner {
  let protocols: string[] = [];
  let position: Position = Position.rest;
  let begun = '';
  let isLineEmpty = false;

  /** Reads the start of a head, after empty lines as the parser allows them; returns the offset of the next byte. */
  const readStart = (chunk: Buffer, from: number): number => {
    let offset = from;
    if (begun === '') while (chunk[offset] === CR || chunk[offset] === LF) offset += 1;
    const end = Math.min(chunk.length, offset + START_BYTES - begun.length);
    begun += chunk.toString('latin1', offset, end);
    if (begun.length < START_BYTES) return end;
    protocols.push(begun.slice(0, PROTOCOL_BYTES));
    position = begun.endsWith(' 1') ? Position.interimHead : Position.rest;
    begun = '';
    isLineEmpty = false;
    return end;
  };
  /** Skips an interim head to its empty line. */
  const skipInterimHead = (chunk: Buffer, from: number): number => {
    for (let offset = from; offset < chunk.length; offset += 1) {
      const byte = chunk[offset];
      if (byte === LF && isLineEmpty) {
        position = Position.start;
        return offset + 1;
      }
      if (byte !== CR) isLineEmpty = byte === LF;
    }
    return chunk.length;
  };
  return {
    start: () => {
      protocols = [];
      position = Position.start;
      begun = '';
    },
    scan: (chunk) => {
      let offset = 0;
      while (position !== Position.rest && offset < chunk.length)
        offset =
          position === Position.start ? readStart(chunk, offset) : skipInterimHead(chunk, offset);
    },
    listProtocols: () => protocols,
  };
}
