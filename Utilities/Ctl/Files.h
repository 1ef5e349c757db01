// Reads the operator's files from disk. The only place of the operator's side that does.
#pragma once

#include <Ctl/Arguments.h>
#include <LibConfig/SourceFiles.h>
#include <LibCore/Error.h>

namespace Sagecrank {

struct LocalFiles
{
    SourceFile base;
    std::vector<SourceFile> overlays; // Sorted by name within a folder.
};

// NotFound names the file or folder that cannot be read.
Result<LocalFiles> readLocalFiles(const Arguments &arguments);

} // namespace Sagecrank
