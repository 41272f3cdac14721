import type { RequestClass } from '../../../decisions/bundle/types.js';
import type { CallerRequest } from '../../../adapters/callerHttp/index.js';

/** Request headers forwarded to backend servers; credentials are never forwarded. */
const FORWARDED_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'traceparent',
  'tracestate',
];

/** Response headers of backend servers that are returned to callers. */
const RETURNED_HEADERS = [
  'content-type',
  'content-language',
  'content-disposition',
  'cache-control',
  'etag',
  'last-modified',
  'location',
];

/** Origin of a request as a backend server sees it. */
export interface BackendHeaderOptions {
  /** Omitted on open routes, which need no key. */
  organisation?: string;
  class: RequestClass;
}

/** Builds the request headers of a call to a backend server. */
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
  for (const name of FORWARDED_HEADERS) {
    const value = incoming.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
}

/** Picks the headers of a backend server's response that are returned to the caller. */
export function pickReturnedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const picked: Record<string, string> = {};
  for (const name of RETURNED_HEADERS) {
    const value = headers[name];
    if (typeof value === 'string') picked[name] = value;
  }
  return picked;
}
