#!/bin/sh
# Launch stub: finds a Java 25 runtime and runs the jar appended to this file.
NEEDED=25
version_of() { "$1" -version 2>&1 | sed -n 's/.* version "\([0-9]*\).*/\1/p' | head -n 1; }
for candidate in "${JAVA_HOME:-/none}/bin/java" /usr/lib/jvm/*25*/bin/java "$(command -v java)"; do
  [ -x "$candidate" ] || continue
  found=$(version_of "$candidate")
  [ "${found:-0}" -ge "$NEEDED" ] || continue
  exec "$candidate" -XX:+UseSerialGC -Djdk.httpclient.keepalive.timeout=1 -Dsun.net.httpserver.nodelay=true \
    --sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED ${CURRANTHAVEN_JAVA_OPTIONS:-} -jar "$0" "$@"
done
echo "curranthaven: no Java $NEEDED runtime was found. Install a JDK $NEEDED and set JAVA_HOME to its folder." >&2
exit 69
