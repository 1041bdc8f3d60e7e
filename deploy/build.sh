#!/bin/sh
# Installs what a forwarder imports, and its own sources with their byte code: the
# checkout is read-only where it runs, so each start would compile them again.
# Whatever did not change stays in place, since processes may be running from it.
set -eu
deps=target/deps
app=target/app
new=target/app.new
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$new"
mkdir -p "$new/endivepick"
cp endivepick/*.py "$new/endivepick"
cp -r endivepick/forwarding endivepick/forwarder endivepick/store "$new/endivepick"
cp -r platform "$new"
find "$new" -name __pycache__ -o -name tests | xargs rm -rf
python3 -m compileall -q -s "$new" --invalidation-mode unchecked-hash "$new"
if [ -d "$app" ] && diff -rq "$new" "$app" > /dev/null; then
    rm -rf "$new"
else
    rm -rf "$app"
    mv "$new" "$app"
fi
