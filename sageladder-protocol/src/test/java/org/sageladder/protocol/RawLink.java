package org.sageladder.protocol;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.sageladder.core.permit.KeyRing;
import org.sageladder.protocol.generated.Inner;

/** A connection to an inner port over which a test sends arbitrary bytes. */
final class RawLink implements AutoCloseable {
  private final Socket socket;

  private RawLink(Socket socket) {
    this.socket = socket;
  }

  static RawLink connect(int port) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    return new RawLink(socket);
  }

  static KeyRing.Key key(String id, int secret) {
    byte[] bytes = new byte[32];
    Arrays.fill(bytes, (byte) secret);
    return new KeyRing.Key(id, 0, KeyRing.Secret.of(bytes));
  }

  /** The first frame of a VM that has the key {@code k1}. */
  static Inner.Hello hello(String vm) {
    return Inner.Hello.newBuilder()
        .setLowestVersion(1)
        .setHighestVersion(1)
        .setVm(vm)
        .setCustomer("k")
        .setKeyId("k1")
        .setNonce(ByteString.copyFrom(new byte[16]))
        .build();
  }

  /** A handshake as performed by a VM that has the key {@code k1}. */
  static Handshake handshake(String vm) {
    KeyRing ring = KeyRing.of(List.of(key("k1", 1)));
    return new Handshake(new LinkIdentity(vm, "k", 1), () -> Optional.of(ring));
  }

  /** Performs the handshake; the returned session seals the frames that follow. */
  Handshake.Session authenticate(String vm) throws IOException, ProtocolException {
    byte[] hello = hello(vm).toByteArray();
    writeFrame(hello);
    return handshake(vm).complete(hello, readFrame());
  }

  static byte[] proof() {
    return Inner.Envelope.newBuilder()
        .setProof(Inner.Proof.getDefaultInstance())
        .build()
        .toByteArray();
  }

  static byte[] seal(Handshake.Session session, byte[] body) {
    byte[] tag = session.sendMac().nextTag(body);
    byte[] sealed = Arrays.copyOf(tag, tag.length + body.length);
    System.arraycopy(body, 0, sealed, tag.length, body.length);
    return sealed;
  }

  /** Prefixes a frame with its length. */
  static byte[] withLength(byte[] bytes) {
    return ByteBuffer.allocate(4 + bytes.length).putInt(bytes.length).put(bytes).array();
  }

  static byte[] concatenate(byte[] first, byte[] second) {
    return ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
  }

  void writeFrame(byte[] bytes) throws IOException {
    writeFrame(bytes.length, bytes);
  }

  /** Writes a frame whose stated length may differ from its actual one. */
  void writeFrame(int length, byte[] bytes) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(length);
    out.write(bytes);
    out.flush();
  }

  void writeRaw(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  byte[] readFrame() throws IOException {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] bytes = new byte[in.readInt()];
    in.readFully(bytes);
    return bytes;
  }

  /** Reads until the peer closes the connection. */
  void awaitClose() {
    try {
      byte[] unused = socket.getInputStream().readAllBytes();
    } catch (IOException expected) {
      // The peer resets the connection if it closes it before reading all data.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
