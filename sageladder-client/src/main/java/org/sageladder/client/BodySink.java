package org.sageladder.client;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Receives the body of a response in chunks, for bodies too large to hold in memory.
 *
 * <p>The received data is complete only once {@link SageladderClient#send(Request, BodySink)} has
 * returned {@link Answer.Complete}. Calls are sequential and come from the client's I/O thread.
 */
public interface BodySink {
  /** Called when a body starts; data received from an earlier attempt must be discarded. */
  void begin() throws IOException;

  /** Consumes all of {@code piece}; may block, which applies backpressure to the sender. */
  void accept(ByteBuffer piece) throws IOException;
}
