/** Head of a response, interim or final, as the HTTP client has parsed it. */
export interface ParsedHead {
  /** First eight bytes of each head of the response that has arrived, such as `HTTP/1.1`. */
  protocols: readonly string[];
  status: number;
  /** Reason phrase. */
  reason: string;
  /** Names in lower case; a list where a name is repeated. */
  headers: Readonly<Record<string, string | string[] | undefined>>;
}

const CHUNKED_ONLY = /^chunked *$/i; // what the parser decodes; it passes on the body of any other coding as it came
const REASON = /^[\t -~\u0080-\uffff]*$/; // undici gives other bytes than those of UTF-8 as U+FFFD

/**
 * Tells why a head that the parser of undici takes is none of an answer in HTTP/1.0 or HTTP/1.1; undefined if it is
 * one. The parser itself refuses malformed names, values and lengths.
 */
export function findHeadFault({
  protocols,
  status,
  reason,
  headers,
}: ParsedHead): string | undefined {
  const other = protocols.find((item) => item !== 'HTTP/1.1' && item !== 'HTTP/1.0');
  if (other !== undefined) return `answer in protocol ${JSON.stringify(other)}`;
  if (status < 100 || status > 599) return `answer with status ${status}`;
  if (status === 101) return 'answer with status 101 to a request without an upgrade';
  if (!REASON.test(reason)) return `answer with a control byte in the reason of status ${status}`;
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return undefined;
  if (protocols.includes('HTTP/1.0')) return 'answer in HTTP/1.0 with a transfer coding';
  if (typeof coding === 'string' && CHUNKED_ONLY.test(coding)) return undefined;
  return `answer with transfer coding ${JSON.stringify(coding)}`;
}
