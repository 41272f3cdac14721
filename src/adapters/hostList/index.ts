import { request } from 'undici';
import { z } from 'zod';
import { HostListError } from '../../errors/index.js';
import { HostRole, type HostList } from '../../ports/hostList.js';

const listReply = z.object({
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

/** Creates the host list that is read from a URL as JSON. */
export function createHttpHostList(url: string, timeoutMs = 1000): HostList {
  return {
    read: async () => {
      try {
        const { statusCode, body } = await request(url, { signal: AbortSignal.timeout(timeoutMs) });
        const text = await body.text();
        if (statusCode !== 200) throw new HostListError(`the list answered ${statusCode}`);
        return listReply.parse(JSON.parse(text)).hosts;
      } catch (cause) {
        throw new HostListError('the host list could not be read', { cause });
      }
    },
  };
}
