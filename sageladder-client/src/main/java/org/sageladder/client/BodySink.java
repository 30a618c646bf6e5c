package org.sageladder.client;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Takes the body of an answer piece by piece, for recordings too large to hold.
 *
 * <p>What came in is whole only once {@link SageladderClient#send(Request, BodySink)} has returned
 * {@link Response.Whole}. Methods are called one at a time, from the client's I/O thread.
 */
public interface BodySink {
  /** A body begins; what an earlier try brought is to be dropped. */
  void begin() throws IOException;

  /** Takes the next piece and empties it; may block, which slows the sender down. */
  void accept(ByteBuffer piece) throws IOException;
}
