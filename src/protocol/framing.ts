/** Frames between entries and agents: cbor values that hold messages of this version. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { CborFrameDecoder, CborFrameEncoder, MAX_FRAME_BYTES } from './cbor-frames.js';
import { MalformedFrameError } from './errors.js';
import { frameSchema } from './messages.js';
import type { Frame } from './messages.js';

export { MAX_FRAME_BYTES } from './cbor-frames.js';

/** Encodes the frames of one direction of one connection. */
export class FrameEncoder extends CborFrameEncoder<Frame> {}

/** Decodes the frames of one direction of one connection; unusable after its first failure. */
export class FrameDecoder extends CborFrameDecoder<Frame> {
  constructor(maxFrameBytes: number = MAX_FRAME_BYTES) {
    super(checkFrame, maxFrameBytes);
  }
}

function checkFrame(value: unknown): Result<Frame, MalformedFrameError> {
  const parsed = frameSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(new MalformedFrameError(parsed.error.issues[0]?.message ?? 'not a frame'));
}
