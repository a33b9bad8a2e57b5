import { expect, it } from 'vitest';
import { PushSource } from '@limpetbay/runtime';

// Guards against a loop that handles nothing any more after one of its sinks has thrown.
it('emits the events after one whose sink throws', () => {
  const handled: string[] = [];
  const source = new PushSource<string>();
  source.run(
    {
      event: (_time, event) => {
        if (event === 'bad') throw new Error('bug');
        handled.push(event);
      },
      end: () => {},
      error: () => {},
    },
    { now: () => 0 } as never,
  );
  expect(() => source.push('bad')).toThrow('bug');
  source.push('good');
  expect(handled).toEqual(['good']);
});
