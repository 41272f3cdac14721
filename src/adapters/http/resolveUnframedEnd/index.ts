import { connect } from 'node:net';

/** What is known of the server of a response whose connection has ended. */
export interface EndEvidence {
  address: string;
  port: number;
  /** Whether a connection to the server that was open at the end is open still. */
  isAnotherOpen: () => boolean;
  /** Whether another connection ended within a response at about the same time. */
  hasAnotherBroken: () => boolean;
  /** Whether the server may have stopped in an orderly way. */
  mayBeStopping: () => boolean;
}

/** Options of resolveUnframedEnd. */
export interface ResolveUnframedEndOptions {
  /** Milliseconds within which all connections of a process end; 20 by default. */
  momentMs?: number;
  /** Longest time to establish a connection, in milliseconds; 400 by default. */
  timeoutMs?: number;
}

/** Whether a response is over, and what tells it. */
export interface UnframedEnd {
  isOver: boolean;
  reason: string;
}

const CHECK_INTERVAL_MS = 2;

type ConnectResult = 'refused' | 'reset' | 'accepted';

/** Tries to connect; resolves to `reset` where the connection is reset within a moment after it was accepted. */
function tryConnect(
  { address, port }: EndEvidence,
  momentMs: number,
  timeoutMs: number,
): Promise<ConnectResult> {
  return new Promise((resolve) => {
    const socket = connect(port, address);
    const finish = (result: ConnectResult): void => {
      resolve(result);
      socket.destroy();
    };
    let timer = setTimeout(finish, timeoutMs, 'accepted');
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(finish, momentMs, 'accepted');
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'reset');
    });
  });
}

/**
 * Resolves whether a response without framing, whose connection ended regularly, is over. The operating system ends
 * the connections of a killed process regularly, but all at once, and refuses new ones. An orderly stop looks the same
 * in the end, so that it counts as a loss only if another response was broken off.
 */
export async function resolveUnframedEnd(
  evidence: EndEvidence,
  { momentMs = 20, timeoutMs = 400 }: ResolveUnframedEndOptions = {},
): Promise<UnframedEnd> {
  const untilMs = performance.now() + momentMs;
  while (evidence.isAnotherOpen()) {
    if (performance.now() >= untilMs)
      return { isOver: true, reason: 'other connections of the server are open' };
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  if (evidence.mayBeStopping() && !evidence.hasAnotherBroken())
    return { isOver: true, reason: 'server may have stopped in an orderly way' };
  let result = await tryConnect(evidence, momentMs, timeoutMs);
  // The listener of a killed process may be closed shortly after its connections; servers also reset what is over their limit.
  if (result === 'reset') result = await tryConnect(evidence, momentMs, timeoutMs);
  if (result === 'refused')
    return { isOver: false, reason: 'server ended all connections and refuses new ones' };
  return { isOver: true, reason: 'server does not refuse connections' };
}
