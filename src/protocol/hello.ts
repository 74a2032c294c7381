/** The handshake of a connection between processes. */
import { err, ok } from '../result.js';
import type { Result } from '../result.js';
import { HelloRefusedError } from './errors.js';
import { PROTOCOL_VERSION } from './messages.js';
import type { Frame, HelloMessage } from './messages.js';

/** Checks that the first message of a connection is a hello of this version from the expected role. */
export function checkHello(
  frame: Frame,
  expectedRole: HelloMessage['role'],
  expectedName?: string,
): Result<HelloMessage, HelloRefusedError> {
  const hello = frame.messages[0];
  if (hello?.kind !== 'hello') {
    return err(new HelloRefusedError('the first message is no hello'));
  }
  if (hello.version !== PROTOCOL_VERSION) {
    return err(new HelloRefusedError(`version ${hello.version} is not ${PROTOCOL_VERSION}`));
  }
  if (hello.role !== expectedRole) {
    return err(new HelloRefusedError(`role ${hello.role} is not ${expectedRole}`));
  }
  if (expectedName !== undefined && hello.name !== expectedName) {
    return err(new HelloRefusedError(`name ${hello.name} is not ${expectedName}`));
  }
  return ok(hello);
}
