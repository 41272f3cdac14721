import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { z } from 'zod';

/** Parser of one setting's text. */
export type SettingParser<Value> = (text: string) => Either<string, Value>;

/** Parses a whole number within bounds. */
export function parseInteger(minimum: number, maximum: number): SettingParser<number> {
  return (text) => {
    const value = Number(text);
    const isFine = /^\d+$/.test(text) && value >= minimum && value <= maximum;
    return isFine
      ? right(value)
      : left(`"${text}" is not a whole number from ${minimum} to ${maximum}`);
  };
}

/** Parses a text of at least so many characters. */
export function parseText(minimumLength = 1): SettingParser<string> {
  return (text) =>
    text.length >= minimumLength ? right(text) : left(`needs at least ${minimumLength} characters`);
}

/** Parses an id of letters, digits, dots, underscores and hyphens. */
export function parseId(text: string): Either<string, string> {
  const isFine = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(text);
  return isFine ? right(text) : left(`"${text}" is not 1 to 64 letters, digits, dots or hyphens`);
}

/** Parses an IP number. */
export function parseAddress(text: string): Either<string, string> {
  const isFine = z.union([z.ipv4(), z.ipv6()]).safeParse(text).success;
  return isFine ? right(text) : left(`"${text}" is not an IP number`);
}

/** Parses the origin or URL of an HTTP service, without a slash at the end. */
export function parseUrl(text: string): Either<string, string> {
  const isFine = URL.canParse(text) && /^https?:\/\//.test(text);
  return isFine ? right(text.replace(/\/$/, '')) : left(`"${text}" is not an http or https URL`);
}

/** Parses `address:port`, or nothing. */
export function parseOptionalEndpoint(text: string): Either<string, string | undefined> {
  if (text === '') return right(undefined);
  return /^.+:\d{1,5}$/.test(text) ? right(text) : left(`"${text}" is not address:port`);
}

/** Parses one of some words. */
export function parseChoice<const Choice extends string>(
  choices: readonly Choice[],
): SettingParser<Choice> {
  return (text) => {
    const choice = choices.find((item) => item === text);
    return choice === undefined
      ? left(`"${text}" is none of ${choices.join(', ')}`)
      : right(choice);
  };
}

const keySet = z.object({
  keys: z
    .array(
      z.looseObject({
        kty: z.literal('OKP'),
        crv: z.literal('Ed25519'),
        x: z.string(),
        kid: z.string(),
      }),
    )
    .min(1),
});

/** Parses the operators' public keys as a JSON Web Key Set of Ed25519 keys. */
export function parseKeySet(text: string): Either<string, JSONWebKeySet> {
  try {
    const parsed = keySet.safeParse(JSON.parse(text));
    if (!parsed.success) return left('is not a JSON Web Key Set of Ed25519 keys with ids');
    const hasPrivate = parsed.data.keys.some((key) => 'd' in key);
    return hasPrivate ? left('holds a private key') : right(parsed.data as JSONWebKeySet);
  } catch {
    return left('is not JSON');
  }
}

/** Parses a number within bounds, also one with a fraction. */
export function parseNumber(minimum: number, maximum: number): SettingParser<number> {
  return (text) => {
    const value = Number(text);
    const isFine = /^\d+(\.\d+)?$/.test(text) && value >= minimum && value <= maximum;
    return isFine ? right(value) : left(`"${text}" is not a number from ${minimum} to ${maximum}`);
  };
}

/** Where a server listens. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Parses `address:port` with an IP number. */
export function parseEndpoint(text: string): Either<string, Endpoint> {
  const separator = text.lastIndexOf(':');
  const port = Number(text.slice(separator + 1));
  const address = parseAddress(text.slice(0, Math.max(0, separator)));
  const isFine = address._tag === 'Right' && Number.isInteger(port) && port >= 0 && port <= 65_535;
  return isFine ? right({ address: address.right, port }) : left(`"${text}" is not address:port`);
}
