package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/** Client of a VM list in the JSON form {@code {"vms": [...]}}. Thread-safe; calls block. */
public record JsonVmList(PlatformHttpClient client, HttpUrl url) implements VmList {
  @Override
  public Either<PlatformFailure, List<Vm>> vms() {
    return client
        .callForJson(new Request.Builder().url(url), Reply.class)
        .flatMap(JsonVmList::vmsIn);
  }

  private static Either<PlatformFailure, List<Vm>> vmsIn(Reply reply) {
    return reply.vms() == null
        ? Either.left(PlatformFailure.unknown("the reply has no list of VMs"))
        : Either.right(List.copyOf(reply.vms()));
  }

  /** The JSON document; the list is null if it is missing. */
  private record Reply(List<Vm> vms) {}
}
