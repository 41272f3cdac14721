import { request } from 'undici';
import { z } from 'zod';
import { HostListError } from '../../errors/index.js';
import { HostRole, type HostList } from '../../ports/hostList.js';

const hostListResponse = z.object({
  hosts: z.array(
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
  ),
});

/** Creates a host list that is read as JSON from a URL. */
export function createHttpHostList(url: string, timeoutMs = 1000): HostList {
  return {
    read: async () => {
      try {
        const { statusCode, body } = await request(url, { signal: AbortSignal.timeout(timeoutMs) });
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
