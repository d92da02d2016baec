package org.guavagw.platform.internal.http;

import io.vavr.control.Either;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.Request;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/** A VM list behind a JSON document: {@code {"vms": [...]}}. Thread-safe; blocks. */
public record JsonVmList(PlatformHttpClient caller, HttpUrl url) implements VmList {
  @Override
  public Either<PlatformFailure, List<Vm>> vms() {
    return caller
        .callForJson(new Request.Builder().url(url), Reply.class)
        .flatMap(JsonVmList::listed);
  }

  private static Either<PlatformFailure, List<Vm>> listed(Reply reply) {
    return reply.vms() == null
        ? Either.left(PlatformFailure.unknown("no list of VMs in the reply"))
        : Either.right(List.copyOf(reply.vms()));
  }

  /** The document; the list is null when it is missing. */
  private record Reply(List<Vm> vms) {}
}
