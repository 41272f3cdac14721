import { RetryPolicy, type BackendServer } from '../../../ports/serving.js';
import type { ServerSelection } from './chooseServer.js';
import {
  MIN_RETRY_AFTER_MS,
  recordCompletion,
  refuseRequest,
  type RequestState,
} from './requestState.js';

/**
 * Binds a request that resumes a stream to the software version that began it; refuses it if that is not
 * known. Returns whether it was answered.
 */
export async function refuseUnknownVersion(state: RequestState): Promise<boolean> {
  const { context, request, response } = state;
  if (!request.route.isStream || request.lastEventId === undefined) return false;
  const finding = await context.streamVersions.findVersion(request);
  state.versionFinding = finding;
  context.metrics.countResumedStream(finding.source);
  if (response.signal.aborted) {
    recordCompletion(state, 0, 'caller left');
    return true;
  }
  if (finding.version === undefined) {
    // The caller need not wait: the stream can only begin anew.
    refuseRequest(state, 'software version of the stream is not known', MIN_RETRY_AFTER_MS);
    return true;
  }
  state.boundVersion = { softwareVersion: finding.version };
  return false;
}

/** Whether another process has registered under the id and address of a server. */
function isRestarted({ context }: RequestState, server: BackendServer): boolean {
  const current = context.serverRegistry.findServer(server.id);
  return (
    current !== undefined &&
    current.incarnation !== server.incarnation &&
    current.address === server.address &&
    current.port === server.port
  );
}

/** Binds a request to the software version of the server that brings the first events of its stream. */
export function recordStreamEvents(state: RequestState, server: BackendServer): void {
  const { context, request } = state;
  const isResumable = request.route.retryPolicy === RetryPolicy.resumable;
  const isFirst = state.boundVersion === undefined;
  // Events still arrive, so that the stream may be of the process that has registered since.
  const isUncertain = isResumable && state.begunBy === server && isRestarted(state, server);
  if (!isFirst && !isUncertain) return;
  const softwareVersion = isUncertain ? undefined : server.softwareVersion;
  state.begunBy = isFirst ? server : undefined;
  state.boundVersion = { softwareVersion };
  if (isResumable) context.streamVersions.recordBegun(request, { ...server, softwareVersion });
}

/** Whether the server of a bound request has been replaced by another process since it was selected. */
export function isReplaced(state: RequestState, { server }: ServerSelection): boolean {
  if (state.boundVersion === undefined) return false;
  const current = state.context.serverRegistry.findServer(server.id);
  return (
    current?.incarnation !== server.incarnation ||
    current.softwareVersion !== state.boundVersion.softwareVersion
  );
}

/** Records up to which event a server has written the stream, for the log. */
export function recordStreamPart(
  state: RequestState,
  { id, softwareVersion = 'unknown' }: BackendServer,
  lastEventId: string | undefined,
): void {
  if (lastEventId === undefined || lastEventId === state.lastEventId) return;
  state.lastEventId = lastEventId;
  state.streamParts.push(`${id} ${softwareVersion} to ${lastEventId}`);
}
