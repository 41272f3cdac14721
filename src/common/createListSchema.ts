import { z } from 'zod';

/**
 * Creates the schema of a list whose check ends at its first invalid entry. An array of zod reports all of them, which
 * takes far more memory than the list itself.
 */
export function createListSchema<Schema extends z.ZodType>(
  entry: Schema,
  { maximumLength }: { maximumLength: number },
): z.ZodType<z.output<Schema>[]> {
  return z.unknown().transform((value, context) => {
    const fail = (message: string): never => {
      context.addIssue({ code: 'custom', message });
      return z.NEVER;
    };
    if (!Array.isArray(value)) return fail('is no list');
    if (value.length > maximumLength)
      return fail(`has ${value.length} entries, more than ${maximumLength}`);
    const list: z.output<Schema>[] = [];
    for (const [index, item] of value.entries()) {
      const result = entry.safeParse(item);
      if (!result.success) return fail(`entry ${index}: ${result.error.issues[0]?.message ?? ''}`);
      list.push(result.data);
    }
    return list;
  });
}
