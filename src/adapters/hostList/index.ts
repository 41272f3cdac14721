import { z } from 'zod';
import { createListSchema } from '../../common/createListSchema.js';
import { createResettingAgent } from '../http/createResettingAgent/index.js';
import { HostListError } from '../../errors/index.js';
import { HostRole, type HostList } from '../../ports/hostList.js';

const MAX_ANSWER_BYTES = 1_048_576; // a list of thousands of hosts
const MAX_HOSTS = 16_384;

const hostListResponse = z.object({
  hosts: createListSchema(
    z.object({
      id: z.string().min(1),
      role: z.enum(HostRole),
      address: z.string().min(1),
      port: z.int().min(1).max(65535),
      dataCentre: z.string(),
      service: z.string().optional(),
      leaving: z.boolean().default(false),
      memoryBytes: z.int().positive().optional(),
      checksFencing: z.boolean().optional(),
    }),
    { maximumLength: MAX_HOSTS },
  ),
});

/** Creates a host list that is read as JSON from a URL. */
export function createHttpHostList(url: string, timeoutMs = 1000): HostList {
  const agent = createResettingAgent({ maxResponseSize: MAX_ANSWER_BYTES });
  return {
    read: async () => {
      try {
        const { origin, pathname, search } = new URL(url);
        const { statusCode, body } = await agent.request({
          origin,
          path: `${pathname}${search}`,
          method: 'GET',
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await body.text();
        if (statusCode !== 200)
          throw new HostListError(`host list responded with status ${statusCode}`);
        return hostListResponse.parse(JSON.parse(text)).hosts;
      } catch (cause) {
        throw new HostListError('reading the host list failed', { cause });
      }
    },
  };
}
