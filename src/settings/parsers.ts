import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { JSONWebKeySet } from 'jose';
import { z } from 'zod';

/** Parses the text of a setting; returns the error on the left. */
export type SettingParser<Value> = (text: string) => Either<string, Value>;

/** Creates a parser of integers within bounds. */
export function parseInteger(minimum: number, maximum: number): SettingParser<number> {
  return (text) => {
    const value = Number(text);
    const isValid = /^\d+$/.test(text) && value >= minimum && value <= maximum;
    return isValid
      ? right(value)
      : left(`"${text}" is not an integer from ${minimum} to ${maximum}`);
  };
}

/** Creates a parser that takes an empty text as undefined, and any other text as `parse` does. */
export function parseOptional<Value>(
  parse: SettingParser<Value>,
): SettingParser<Value | undefined> {
  return (text) => (text === '' ? right(undefined) : parse(text));
}

/** Creates a parser of texts with a minimum length. */
export function parseText(minimumLength = 1): SettingParser<string> {
  return (text) =>
    text.length >= minimumLength
      ? right(text)
      : left(`must have at least ${minimumLength} characters`);
}

/** Parses an id of letters, digits, dots, underscores and hyphens. */
export function parseId(text: string): Either<string, string> {
  const isValid = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(text);
  return isValid
    ? right(text)
    : left(`"${text}" is not 1 to 64 letters, digits, dots, underscores or hyphens`);
}

/** Parses an IPv4 or IPv6 address. */
export function parseAddress(text: string): Either<string, string> {
  const isValid = z.union([z.ipv4(), z.ipv6()]).safeParse(text).success;
  return isValid ? right(text) : left(`"${text}" is not an IP address`);
}

/** Parses the origin or URL of an HTTP service and removes a trailing slash. */
export function parseUrl(text: string): Either<string, string> {
  const isValid = URL.canParse(text) && /^https?:\/\//.test(text);
  return isValid ? right(text.replace(/\/$/, '')) : left(`"${text}" is not an http or https URL`);
}

/** Parses `address:port`, also with a host name, to the text itself; undefined if it is empty. */
export function parseOptionalHostAndPort(text: string): Either<string, string | undefined> {
  if (text === '') return right(undefined);
  return /^.+:\d{1,5}$/.test(text) ? right(text) : left(`"${text}" is not address:port`);
}

/** Creates a parser of one of the given choices. */
export function parseChoice<const Choice extends string>(
  choices: readonly Choice[],
): SettingParser<Choice> {
  return (text) => {
    const choice = choices.find((item) => item === text);
    return choice === undefined
      ? left(`"${text}" is not one of ${choices.join(', ')}`)
      : right(choice);
  };
}

const keySetSchema = z.object({
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
    const parsed = keySetSchema.safeParse(JSON.parse(text));
    if (!parsed.success) return left('is not a JSON Web Key Set of Ed25519 keys with ids');
    const hasPrivateKey = parsed.data.keys.some((key) => 'd' in key);
    return hasPrivateKey ? left('contains a private key') : right(parsed.data as JSONWebKeySet);
  } catch {
    return left('is not valid JSON');
  }
}

/** Creates a parser of numbers within bounds, with or without a fraction. */
export function parseNumber(minimum: number, maximum: number): SettingParser<number> {
  return (text) => {
    const value = Number(text);
    const isValid = /^\d+(\.\d+)?$/.test(text) && value >= minimum && value <= maximum;
    return isValid ? right(value) : left(`"${text}" is not a number from ${minimum} to ${maximum}`);
  };
}

/** Address and port that a server listens on. */
export interface Endpoint {
  address: string;
  port: number;
}

/** Parses `address:port` with an IP address. */
export function parseEndpoint(text: string): Either<string, Endpoint> {
  const separator = text.lastIndexOf(':');
  const port = Number(text.slice(separator + 1));
  const address = parseAddress(text.slice(0, Math.max(0, separator)));
  const isValid = address._tag === 'Right' && Number.isInteger(port) && port >= 0 && port <= 65_535;
  return isValid ? right({ address: address.right, port }) : left(`"${text}" is not address:port`);
}
