import { setTimeout as sleep } from 'node:timers/promises';
import { createWord } from '@limpetbay/standins';

const JSON_HEADERS = { 'content-type': 'application/json', 'limpetbay-workspace': 'estate-1' };

interface StreamedAnswer {
  readonly status: number;
  readonly words: string[];
  readonly isComplete: boolean;
  /** What arrived after the last event: the text of an error, or part of an event. */
  readonly rest: string;
}

const buildMessages = (content: string): object[] => [{ role: 'user', content }];

/** Lists the words that an engine generates for a prompt. */
export function listExpectedWords(content: string, count: number): string[] {
  const prompt = JSON.stringify(buildMessages(content));
  const words: string[] = [];
  for (let index = 0; index < count; index += 1) words.push(createWord(prompt, index));
  return words;
}

/**
 * Requests a streamed answer and collects its words until the stream ends or breaks.
 *
 * @param onWord called for each word when it arrives
 */
export async function streamChat(
  url: string,
  content: string,
  maxTokens: number,
  onWord: (word: string) => void = () => undefined,
): Promise<StreamedAnswer> {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: JSON_HEADERS,
    body: JSON.stringify({
      model: 'canerota',
      stream: true,
      max_tokens: maxTokens,
      messages: buildMessages(content),
    }),
  });
  const words: string[] = [];
  let buffered = '';
  let isComplete = false;
  try {
    for await (const chunk of response.body!) {
      buffered += Buffer.from(chunk).toString('utf8');
      const events = buffered.split('\n\n');
      buffered = events.pop()!;
      for (const event of events) {
        if (event === 'data: [DONE]') isComplete = true;
        const word = /"content":"(\w+) "/.exec(event)?.[1];
        if (word === undefined) continue;
        words.push(word);
        onWord(word);
      }
    }
  } catch {
    isComplete = false;
  }
  const { status } = response;
  return { status, words, isComplete: isComplete && status === 200, rest: buffered };
}

interface CallResult {
  readonly status: number;
  readonly kind: string | undefined;
  readonly run: string | undefined;
  readonly isReplayed: boolean;
  readonly body: string;
}

/**
 * Sends a booking.
 *
 * @param key idempotency key; empty for none
 */
export async function sendBooking(
  url: string,
  id: string,
  key = '',
  headers: Record<string, string> = {},
): Promise<CallResult> {
  const response = await fetch(`${url}/services/bookings/bookings`, {
    method: 'POST',
    headers: { ...JSON_HEADERS, ...(key === '' ? {} : { 'idempotency-key': key }), ...headers },
    body: JSON.stringify({ id }),
  });
  const body = await response.text();
  const { error } = JSON.parse(body) as { error?: { kind: string; run: string } };
  return {
    status: response.status,
    kind: error?.kind,
    run: error?.run,
    isReplayed: response.headers.get('limpetbay-replayed') === 'true',
    body,
  };
}

/**
 * Sends a booking and retries it up to 5 times while it is refused with 503 as "not run". Waits 1 s
 * before each retry, the time that the refusal names.
 */
export async function sendBookingWithRetry(
  url: string,
  id: string,
  key: string,
  headers: Record<string, string> = {},
): Promise<CallResult> {
  for (let retries = 0; ; retries += 1) {
    const result = await sendBooking(url, id, key, headers);
    const isRefused = result.run === 'no' && result.status === 503;
    if (!isRefused || retries === 5) return result;
    await sleep(1000);
  }
}
