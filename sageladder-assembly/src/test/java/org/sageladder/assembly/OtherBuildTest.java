package org.sageladder.assembly;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OtherBuildTest {
  // Guards against a comparison of two builds that silently compares this build with itself: the
  // class loader fell back to this build's classes if it did not find those of the other build.
  @Test
  void directoryWithoutBuildIsRefusedAndNotReplacedByThisBuild(@TempDir Path empty) {
    IOException refused = assertThrows(IOException.class, () -> OtherBuild.of(empty));

    assertTrue(refused.getMessage().contains(empty.toString()), refused.getMessage());
    assertTrue(refused.getMessage().contains("sageladder-dist/target/lib"), refused.getMessage());
  }
}
