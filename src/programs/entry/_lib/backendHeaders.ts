import type { RequestClass } from '../../../decisions/bundle/types.js';
import type { CallerRequest } from '../../../adapters/callerHttp/index.js';

/** Callers' headers that go on to backend servers; credentials and the like never do. */
const FORWARDED = ['content-type', 'accept', 'accept-language', 'traceparent', 'tracestate'];

/** Backend servers' headers that go back to callers. */
const RETURNED = [
  'content-type',
  'content-language',
  'content-disposition',
  'cache-control',
  'etag',
  'last-modified',
  'location',
];

/** What a backend server learns of a request's origin. */
export interface BackendHeaderOptions {
  /** Left out on open routes. */
  organisation?: string;
  class: RequestClass;
}

/** Builds the headers of a call of a backend server. */
export function buildBackendHeaders(
  { incoming, id }: CallerRequest,
  options: BackendHeaderOptions,
): Record<string, string> {
  const headers: Record<string, string> = {
    'x-request-id': id,
    'bronzelanding-class': options.class,
  };
  if (options.organisation !== undefined)
    headers['bronzelanding-organisation'] = options.organisation;
  for (const name of FORWARDED) {
    const value = incoming.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}

/** Picks the headers of a backend server's answer that its caller gets. */
export function pickReturnedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const picked: Record<string, string> = {};
  for (const name of RETURNED) {
    const value = headers[name];
    if (typeof value === 'string') picked[name] = value;
  }
  return picked;
}
