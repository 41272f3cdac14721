/** Requests to the leader that are not answered yet. */
export interface PendingReplies<Reply> {
  /** Sends what `send` sends for a new id; undefined when no reply to it arrives in time. */
  request: (send: (id: number) => boolean) => Promise<Reply | undefined>;
  settle: (id: number, reply: Reply | undefined) => void;
}

/** Creates the pending replies of one kind of request. */
export function createPendingReplies<Reply>(timeoutMs: number): PendingReplies<Reply> {
  const resolvers = new Map<number, (reply: Reply | undefined) => void>();
  let nextId = 0;
  return {
    request: (send) =>
      new Promise((resolve) => {
        nextId += 1;
        const id = nextId;
        const finish = (reply: Reply | undefined): void => {
          clearTimeout(timer);
          resolvers.delete(id);
          resolve(reply);
        };
        const timer = setTimeout(() => finish(undefined), timeoutMs);
        resolvers.set(id, finish);
        if (!send(id)) finish(undefined);
      }),
    settle: (id, reply) => resolvers.get(id)?.(reply),
  };
}
