package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.sageladder.standin.http.RequestBytes;

/** Guards against refusing a single request that is within the limits on callers. */
class LargeRequestsInCalmTest {
  private static final int BODY_BYTES = 64 << 20;
  private static final int CHUNK_BYTES = 64 << 10;

  @TempDir(cleanup = CleanupMode.ON_SUCCESS)
  private Path folder;

  @Test
  void eachIsAnswered() throws Exception {
    try (SmallEntryVm vm =
        SmallEntryVm.start(
            SmallEntryVm.DEPLOYED_HEAP_MEGABYTES, SmallEntryVm.DEPLOYED_DESCRIPTORS, folder)) {
      assertServed(vm, get().emptyHeaders(4_000).endOfHead());
      assertServed(vm, get().distinctHeaders(2_700).endOfHead());
      assertServed(vm, get().text("Connection: k" + ",k".repeat(8_000) + "\r\n").endOfHead());
      assertServed(vm, post().endOfHead().chunks(1_000_000, 1, "").text("0\r\n\r\n"));
      assertServed(
          vm,
          post().endOfHead().chunks(BODY_BYTES / CHUNK_BYTES, CHUNK_BYTES, "").text("0\r\n\r\n"));
      assertServed(
          vm,
          RequestBytes.of(
                  "POST /plain/1 HTTP/1.1",
                  "Host: h",
                  "Request-Id: m",
                  "Content-Length: " + BODY_BYTES)
              .endOfHead()
              .text("x".repeat(BODY_BYTES)));
      assertServed(vm, post().endOfHead().text("2\r\nab\r\n0\r\n").emptyHeaders(4_000).endOfHead());
      assertServed(
          vm, post().endOfHead().chunks(100, 10, ";e=" + "x".repeat(4_000)).text("0\r\n\r\n"));
      vm.assertSound();
    }
  }

  private static RequestBytes get() {
    return RequestBytes.of("GET /plain/1 HTTP/1.1", "Host: h", "Request-Id: m");
  }

  private static RequestBytes post() {
    return RequestBytes.of(
        "POST /plain/1 HTTP/1.1", "Host: h", "Request-Id: m", "Transfer-Encoding: chunked");
  }

  private static void assertServed(SmallEntryVm vm, RequestBytes request) throws Exception {
    assertEquals("200", vm.status(request.toByteArray()));
  }
}
